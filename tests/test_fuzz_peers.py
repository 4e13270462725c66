"""Fuzz tests of the peer protocol: raw requests and the controllers behind them."""

from typing import Any

import anyio
import orjson
from hypothesis import example, given, settings, strategies as st

from bronzebeam.controllers.peer_messages import (
    MAX_MESSAGE_BYTES,
    Exchange,
    Push,
    exchange_to_json,
    push_to_json,
)
from bronzebeam.entry.peer_app import PeerApp
from bronzebeam.transport.peer import (
    DOCUMENT_PATH,
    EXCHANGE_PATH,
    PUSH_PATH,
    STATUS_PATH,
)
from tests.fixtures_asgi import (
    ANY_TEXT,
    JSON_VALUES,
    RawRequest,
    is_complete_response,
    raw_requests,
)
from tests.fixtures_fleet import FakeEntry, Fleet, document_json, make_member, run_fleet

STATUSES = {200, 400, 404, 413}
CONVERGENCE_TIMEOUT_SECONDS = 60.0
MAX_MEMBERS = 300
SENDER = make_member("e9", "b")
EXCHANGE: dict[str, Any] = exchange_to_json(
    Exchange(
        sender=SENDER,
        revision=0,
        content_hash="",
        store_failing=False,
        records_digest="0",
        buckets=(),
        records=(make_member("e8"),),
        topics=(),
    )
)
PUSH: dict[str, Any] = push_to_json(
    Push(sender=SENDER, configuration=None, records=(make_member("e8"),), topics=())
)
MEMBER_RECORDS = st.lists(
    JSON_VALUES
    | st.fixed_dictionaries(
        {
            "instance": st.sampled_from(["e0", "e1", "e9"]) | JSON_VALUES,
            "incarnation": st.integers(-1, 2**64) | JSON_VALUES,
            "state": st.sampled_from(["live", "leaving", "gone"]) | JSON_VALUES,
            "address": ANY_TEXT,
            "peer_address": ANY_TEXT,
            "failure_domain": ANY_TEXT,
        }
    ),
    max_size=5,
)
CONFIGURATION_UPDATES = st.fixed_dictionaries(
    {
        "revision": st.integers(-1, 2**64) | JSON_VALUES,
        "content_hash": ANY_TEXT,
        "base_revision": st.integers(0, 3) | JSON_VALUES,
        "base_checksum": ANY_TEXT,
        "checksum": ANY_TEXT,
        "changes": st.lists(JSON_VALUES, max_size=3),
    }
)
FIELD_CHANGES = st.dictionaries(
    st.sampled_from(
        ["sender", "records", "configuration", "topics", "buckets", "revision"]
    ),
    JSON_VALUES | MEMBER_RECORDS | CONFIGURATION_UPDATES,
    max_size=3,
)
BODIES = st.one_of(
    st.binary(max_size=100),
    st.builds(
        lambda base, changes: {**base, **changes}, st.just(EXCHANGE), FIELD_CHANGES
    ).map(lambda value: _encode(value)),
    st.builds(
        lambda base, changes: {**base, **changes}, st.just(PUSH), FIELD_CHANGES
    ).map(lambda value: _encode(value)),
    st.sampled_from([b"[" * 2_000, b"x" * (MAX_MESSAGE_BYTES + 1)]),
)
RAW_REQUESTS = raw_requests(
    methods=st.sampled_from(["POST", "GET"]) | ANY_TEXT,
    paths=st.sampled_from([EXCHANGE_PATH, PUSH_PATH, DOCUMENT_PATH, STATUS_PATH])
    | ANY_TEXT,
    headers=st.just([]),
    bodies=BODIES,
)
OVERSIZED_REQUEST = RawRequest(
    method="POST",
    path=PUSH_PATH,
    headers=[],
    chunks=[b"x" * (MAX_MESSAGE_BYTES // 2)] * 5,
)


def _encode(value: Any) -> bytes:
    try:
        return orjson.dumps(value)
    except TypeError:
        return b"null"


def _post(path: str, value: Any) -> RawRequest:
    return RawRequest(method="POST", path=path, headers=[], chunks=[_encode(value)])


def _app(node: FakeEntry) -> PeerApp:
    return PeerApp(
        membership=node.membership,
        configuration=node.configuration,
        gossip=node.gossip,
    )


async def _send(app: PeerApp, request: RawRequest) -> None:
    await app(request.scope, request.receive, request.send)
    assert request.read_bytes <= MAX_MESSAGE_BYTES + max(map(len, request.chunks))
    if not request.sent_messages:
        assert request.is_truncated
        return
    assert is_complete_response(request)
    assert request.status in STATUSES
    orjson.loads(request.body)


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(requests=st.lists(RAW_REQUESTS, min_size=1, max_size=6))
@example(requests=[OVERSIZED_REQUEST])
@example(requests=[_post(EXCHANGE_PATH, EXCHANGE), _post(PUSH_PATH, PUSH)])
def test_fleet_keeps_working_after_any_requests(requests: list[RawRequest]) -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.start_many(3)
        fleet.store.put(document_json(1))
        await fleet.wait_until_active(1, CONVERGENCE_TIMEOUT_SECONDS)
        app = _app(fleet.entries["e0"])
        for request in requests:
            await _send(app, request)
        await anyio.sleep(5.0)
        assert fleet.revisions() == {1}
        fleet.store.put(document_json(2))
        await fleet.wait_until_active(2, CONVERGENCE_TIMEOUT_SECONDS)
        for node in fleet.entries.values():
            assert len(node.membership.view.members) <= MAX_MEMBERS

    run_fleet(scenario)


def test_valid_messages_are_accepted() -> None:
    async def scenario(fleet: Fleet) -> None:
        app = _app(fleet.start("e0"))
        for request in (_post(EXCHANGE_PATH, EXCHANGE), _post(PUSH_PATH, PUSH)):
            await _send(app, request)
            assert request.status == 200, request.body

    run_fleet(scenario)
