"""
Tests of the messages between instances of different builds.

`tests/data` has messages as build 9582a90 encodes them, recorded by running it.
"""

import base64
from pathlib import Path
from typing import Any

import orjson
from attrs import evolve
from hypothesis import given, strategies as st

from bronzebeam.gateway.change_codec import (
    FeedResponse,
    decode_feed_response,
    decompress_response,
    encode_changes,
    encode_feed_response,
)
from bronzebeam.gateway.peer_codec import (
    DelegationRequest,
    LeavingReplica,
    RelayOutcome,
    RelayRequest,
    decode_delegation,
    decode_leaving,
    decode_names,
    decode_relay,
    decode_relay_outcome,
    decode_result,
    encode_delegation,
    encode_leaving,
    encode_names,
    encode_relay,
    encode_relay_outcome,
    encode_result,
)
from bronzebeam.gateway.records import (
    Change,
    EvacuationRecord,
    InstanceRecord,
    RecordKind,
    ReplicaRecord,
    SuspectRecord,
)
from bronzebeam.platform.configuration import decode_configuration
from bronzebeam.platform.instance_codec import decode_instance, encode_instance
from bronzebeam.platform.suspect_codec import decode_suspect, encode_suspect
from bronzebeam.routing.routes import RouteTable
from tests.fixtures_routing import HYPOTHESIS_SETTINGS

RECORDED: dict[str, Any] = orjson.loads(
    (Path(__file__).parent / "data" / "peer_messages_9582a90.json").read_bytes()
)
TABLE = decode_configuration(RECORDED["stored_configuration"].encode())
CHANGES = (
    Change(
        kind=RecordKind.REPLICA,
        name="i-1",
        value=ReplicaRecord(
            replica="i-1",
            service="s",
            host="10.0.0.1",
            port=80,
            failure_domain="z",
            slots=2,
            leaving=True,
            cold_ms=1.5,
            started_at_ms=1_700,
            sequence=3,
        ),
    ),
    Change(
        kind=RecordKind.INSTANCE,
        name="g",
        value=InstanceRecord(
            instance="g",
            failure_domain="z",
            host="10.0.0.2",
            port=81,
            processor_cores=0.5,
            reaches_replicas=False,
        ),
    ),
    Change(
        kind=RecordKind.INSTANCE,
        name="h",
        value=InstanceRecord(
            instance="h", failure_domain="z", host="10.0.0.3", port=81
        ),
    ),
    Change(
        kind=RecordKind.SUSPECT,
        name="f/g",
        value=SuspectRecord(suspect="f", instance="g", losses=2),
    ),
    Change(kind=RecordKind.REPLICA, name="i-2"),
    Change(kind=RecordKind.CONFIGURATION, name="", value=TABLE),
)
DELEGATION = DelegationRequest(
    route="a",
    shards=("s", "t"),
    top_records=5,
    max_attempts=2,
    target_latency_ms=90.0,
    hedge_after_ms=12.0,
    cutoff_ms=70.0,
    repeated=True,
)
RELAY = RelayRequest(route="b", service="s", idempotent=False, target_latency_ms=90.0)
OUTCOMES = [
    RelayOutcome(
        result="answered",
        cause="",
        connection_lost=False,
        replica="i-1",
        started_at_ms=1_700,
    ),
    RelayOutcome(result="not_sent", cause="no_replica", connection_lost=False),
]
LEAVING = [
    LeavingReplica(replica="i-1", started_at_ms=1_700),
    LeavingReplica(replica="i-2", started_at_ms=0),
]
OMITTED = frozenset({"accounts", "evacuations"})
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 5) | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=2)
    | st.dictionaries(st.text(max_size=3), inner, max_size=2),
    max_leaves=4,
)
UNKNOWN_FIELDS = st.dictionaries(
    st.text(max_size=5).map(lambda name: f"later_{name}"), JSON_VALUES, max_size=2
)
UNKNOWN_ITEMS = st.lists(JSON_VALUES, max_size=3)


def decode_recorded(name: str) -> FeedResponse:
    return decode_feed_response(RECORDED[name].encode())


def check_table_without_accounts(table: Any) -> None:
    """Check a table from a build that knows neither accounts nor public routes."""
    assert isinstance(table, RouteTable)
    assert table.accounts == () and not any(route.is_public for route in table.routes)
    assert [route.path_prefix for route in table.routes] == ["/ü/".encode(), b"/b/"]
    assert [route.services for route in table.routes] == [("s", "t"), ("s", "t")]
    assert table.version == TABLE.version and table.limits == TABLE.limits
    assert table.services["s"].connection_limit == 9


def test_changes_of_the_earlier_build_are_read() -> None:
    response = decode_recorded("feed_changes")
    assert response.changes[:-1] == CHANGES[:-1]
    check_table_without_accounts(response.changes[-1].value)
    assert (response.revision, response.era) == (9, 3)
    assert response.is_up_to_date and not response.is_complete
    assert response.omitted == OMITTED
    whole = decode_feed_response(
        decompress_response(base64.b64decode(RECORDED["feed_whole_deflated"]))
    )
    assert whole.is_complete and whole.revision == 12
    assert whole.changes[:-1] == CHANGES[:-1] and whole.omitted == OMITTED
    nothing = decode_recorded("feed_nothing")
    assert nothing.changes == () and nothing.era is None and nothing.is_up_to_date
    assert not decode_recorded("feed_not_following").is_up_to_date


def test_requests_between_peers_are_the_same_in_both_builds() -> None:
    # Their fields are told apart by their position, so not even one may be added.
    for recorded, encoded in (
        (RECORDED["delegation"], encode_delegation(DELEGATION)),
        (RECORDED["relay"], encode_relay(RELAY)),
        (RECORDED["delegation_result"], encode_result([b"sig-1", None])),
        (RECORDED["leaving"], encode_leaving(LEAVING)),
        (RECORDED["unreachable"], encode_names(["s", "t"])),
        (RECORDED["relay_outcomes"][0], encode_relay_outcome(OUTCOMES[0])),
        (RECORDED["relay_outcomes"][1], encode_relay_outcome(OUTCOMES[1])),
    ):
        assert encoded.decode() == recorded
    assert decode_delegation(RECORDED["delegation"].encode()) == DELEGATION
    assert decode_relay(RECORDED["relay"].encode()) == RELAY
    for recorded, outcome in zip(RECORDED["relay_outcomes"], OUTCOMES):
        assert decode_relay_outcome(recorded.encode()) == outcome
    result = RECORDED["delegation_result"].encode()
    assert decode_result(result, count=2) == [b"sig-1", None]
    assert decode_leaving(RECORDED["leaving"].encode()) == LEAVING
    assert decode_names(RECORDED["unreachable"].encode()) == {"s", "t"}


def test_records_in_the_store_are_the_same_in_both_builds() -> None:
    instance, suspect = CHANGES[1].value, CHANGES[3].value
    assert isinstance(instance, InstanceRecord) and isinstance(suspect, SuspectRecord)
    assert encode_instance(instance).decode() == RECORDED["instance_record"]
    assert encode_suspect(suspect).decode() == RECORDED["suspect_record"]
    assert decode_instance("g", RECORDED["instance_record"].encode()) == instance
    assert decode_suspect("f/g", RECORDED["suspect_record"].encode()) == suspect


def check_includes(encoded: Any, recorded: Any) -> None:
    """Check that a document has all that an earlier one has, in the same places."""
    if isinstance(recorded, dict):
        assert isinstance(encoded, dict)
        for name, value in recorded.items():
            check_includes(encoded[name], value)
    elif isinstance(recorded, list):
        assert isinstance(encoded, list) and len(encoded) == len(recorded)
        for one, other in zip(encoded, recorded):
            check_includes(one, other)
    else:
        assert encoded == recorded and isinstance(encoded, type(recorded))


def test_earlier_build_finds_all_that_it_knows_in_a_response() -> None:
    # It ignores fields and kinds that it does not know; what it knows must be there.
    data = encode_feed_response(
        revision=9, is_up_to_date=True, changes=encode_changes(CHANGES), era=3
    )
    check_includes(orjson.loads(data), orjson.loads(RECORDED["feed_changes"]))
    evacuation = Change(
        kind=RecordKind.EVACUATION,
        name="z",
        value=EvacuationRecord(failure_domain="z"),
    )
    changes = orjson.loads(encode_changes([evacuation]))
    known_kinds = {
        item["kind"] for item in orjson.loads(RECORDED["feed_changes"])["changes"]
    }
    assert changes[0]["kind"] not in known_kinds
    for era, is_up_to_date, name in (
        (None, True, "feed_nothing"),
        (3, False, "feed_not_following"),
    ):
        data = encode_feed_response(
            revision=9, is_up_to_date=is_up_to_date, changes=b"[]", era=era
        )
        check_includes(orjson.loads(data), orjson.loads(RECORDED[name]))


def test_accounts_are_passed_on_as_digests() -> None:
    data = encode_feed_response(
        revision=9, is_up_to_date=True, changes=encode_changes(CHANGES), era=3
    )
    assert b"secret" not in data
    response = decode_feed_response(data)
    assert response.omitted == frozenset()
    table = response.changes[-1].value
    assert isinstance(table, RouteTable) and table.accounts == TABLE.accounts
    account = table.account_by_key(b"secret-lib-1")
    assert account is not None and account.rate_per_second == 5.0
    assert [route.is_public for route in table.routes] == [False, True]
    assert table.services == TABLE.services


def test_configuration_without_accounts_is_passed_on_as_before() -> None:
    document = orjson.loads(RECORDED["stored_configuration"])
    del document["tenants"], document["routes"][1]["public"]
    for name in ("coldStartS", "coldPerS"):
        del document["services"][0][name]
    table = decode_configuration(orjson.dumps(document))
    change = Change(kind=RecordKind.CONFIGURATION, name="", value=table)
    recorded = orjson.loads(RECORDED["feed_changes"])["changes"][-1]
    assert orjson.loads(encode_changes([change])) == [recorded]


def add_fields(value: Any, fields: dict[str, Any]) -> Any:
    """Return a JSON document in which each object has more fields."""
    if isinstance(value, list):
        return [add_fields(item, fields) for item in value]
    if isinstance(value, dict):
        return fields | {name: add_fields(item, fields) for name, item in value.items()}
    return value


@HYPOTHESIS_SETTINGS
@given(
    fields=UNKNOWN_FIELDS,
    kind=st.text(max_size=6).map(lambda name: f"later-{name}"),
    value=JSON_VALUES,
    place=st.integers(0, len(CHANGES)),
)
def test_unknown_fields_and_kinds_in_changes_are_ignored(
    fields: dict[str, Any], kind: str, value: object, place: int
) -> None:
    data = encode_feed_response(
        revision=9, is_up_to_date=True, changes=encode_changes(CHANGES), era=3
    )
    document = orjson.loads(data)
    document["changes"].insert(place, {"kind": kind, "name": "x", "value": value})
    document = add_fields(document, fields)
    document["passed_on"].append("later")
    response = decode_feed_response(orjson.dumps(document))
    assert response.changes[:-1] == CHANGES[:-1]
    assert repr(response.changes[-1]) == repr(CHANGES[-1])
    assert response.omitted == frozenset()


@HYPOTHESIS_SETTINGS
@given(fields=UNKNOWN_FIELDS)
def test_unknown_fields_in_instance_records_are_ignored(fields: dict[str, Any]) -> None:
    record = orjson.loads(RECORDED["instance_record"]) | fields
    assert decode_instance("g", orjson.dumps(record)) == CHANGES[1].value


@HYPOTHESIS_SETTINGS
@given(items=UNKNOWN_ITEMS)
def test_unknown_items_of_delegations_and_relays_are_ignored(items: list[Any]) -> None:
    def extended(data: bytes) -> bytes:
        return orjson.dumps(orjson.loads(data) + items)

    # Later items come behind the regions, which are there only if any are named.
    delegation = evolve(DELEGATION, regions=frozenset({"region-1"}))
    relay = evolve(RELAY, regions=frozenset({"region-1"}))
    assert decode_delegation(extended(encode_delegation(delegation))) == delegation
    assert decode_relay(extended(encode_relay(relay))) == relay
    for outcome in OUTCOMES:
        encoded = extended(encode_relay_outcome(outcome))
        assert decode_relay_outcome(encoded) == outcome
