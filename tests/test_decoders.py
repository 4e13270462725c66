"""Tests that every decoder of what other processes write is total."""

import ast
import base64
import inspect
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
from hypothesis import given, strategies as st

from bronzebeam.decoding import read_count
from bronzebeam.gateway.change_codec import (
    MalformedFeedResponse,
    decode_feed_response,
    decompress_response,
)
from bronzebeam.gateway.explanation import InvalidQuestion, read_question
from bronzebeam.gateway.load_codec import decode_readings
from bronzebeam.gateway.peer_codec import (
    MalformedDelegation,
    decode_delegation,
    decode_leaving,
    decode_names,
    decode_relay,
    decode_relay_outcome,
    decode_result,
)
from bronzebeam.gateway.quota_message import (
    MalformedQuotaMessage,
    decode_grant,
    decode_question,
)
from bronzebeam.platform.configuration import (
    MalformedRecord,
    decode_configuration,
    decode_version,
)
from bronzebeam.platform.instance_codec import decode_instance
from bronzebeam.platform.replica_codec import decode_replica
from bronzebeam.platform.store import decode_change
from bronzebeam.platform.suspect_codec import decode_suspect
from bronzebeam.routing.cold_limits import read_cold_seconds
from bronzebeam.routing.replica_limit import read_limit
from bronzebeam.routing.replica_pause import read_pause
from bronzebeam.routing.reported_load import read_load
from tests.fixtures_routing import HYPOTHESIS_SETTINGS

SOURCE_FOLDER = Path(__file__).parent.parent / "src" / "bronzebeam"
Decode = Callable[[bytes], Any]
# Each decoder of bytes, with the only exception that it may raise.
DECODERS: dict[Decode, type[Exception] | tuple[()]] = {
    lambda data: decode_replica("i-1", data): MalformedRecord,
    lambda data: decode_instance("g-1", data): MalformedRecord,
    lambda data: decode_suspect("s/g-1", data): MalformedRecord,
    decode_configuration: MalformedRecord,
    decode_version: MalformedRecord,
    lambda data: decode_change(
        "servers/i-1", {"value": base64.b64encode(data).decode()}
    ): MalformedRecord,
    lambda data: decode_change(
        "servers/i-1", {"value": data.decode("latin-1")}
    ): MalformedRecord,
    decode_feed_response: MalformedFeedResponse,
    decompress_response: MalformedFeedResponse,
    decode_delegation: MalformedDelegation,
    decode_relay: MalformedDelegation,
    decode_relay_outcome: (),
    lambda data: decode_result(data, count=2): (),
    decode_leaving: (),
    decode_names: (),
    lambda data: decode_readings(data, now_seconds=5.0): MalformedDelegation,
    decode_question: MalformedQuotaMessage,
    lambda data: decode_grant(data, wanted_count=3): MalformedQuotaMessage,
    read_question: InvalidQuestion,
    read_pause: (),
    read_limit: (),
    read_cold_seconds: (),
    lambda data: read_load(data, at_seconds=5.0): (),
    read_count: ValueError,
    lambda data: read_count(data.decode("latin-1")): ValueError,
}
SOURCES = "".join(inspect.getsource(item) for item in DECODERS)
# Decoders of local files, and of the entry, which the gateway does not use.
NOT_OF_THE_GATEWAY = {
    "parse_settings",
    "parse_fields",
    "read_settings",
    "read_settings_text",
    "read_first_text",
    "read_text",
}
ODD_TEXTS = (
    "",
    "808\u00b2",
    "10..0.9:8080",
    "1" * 5_000,
    "x" * 5_000,
    "\ud800",
    "a\r\nb",
)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from([text for text in ODD_TEXTS if text != "\ud800"])
    | st.sampled_from(["10.1.0.1:80", "10.1.0.1:99999", "ready", "draining"])
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=8)
    | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=12,
)
FIELDS = st.sampled_from(
    "service address zone slots state coldRemainingMs sequence born failure_domain "
    "host port processor_cores reaches_replicas losses version routes services limits "
    "tenants name pathPrefix timeoutMs maxAttempts topK trafficSplit weight "
    "fanoutServices connectionLimit apiKeys ratePerS revision era following complete "
    "passed_on changes kind value account wanted granted lifetime_ms key "
    "compacted".split()
)
DOCUMENTS = VALUES | st.dictionaries(
    FIELDS,
    VALUES
    | st.lists(st.dictionaries(FIELDS, VALUES, max_size=8), max_size=3)
    | st.dictionaries(FIELDS, VALUES, max_size=6),
    max_size=12,
)
DEEP = b"[" * 100_000 + b"]" * 100_000
ODD_BYTES = (
    b"",
    b"\xff\xfe",
    DEEP,
    b'{"a":' * 2_000 + b"1" + b"}" * 2_000,
    b"1" * 5_000,
    b"1e999",
    b"-1e999,1e999,nan,inf",
    b"i-1@" + b"9" * 5_000,
    "\u00b2,\u00b2,\u00b2,\u00b2".encode(),
    b'{"revision":1e999,"following":true,"changes":[]}',
    b'{"version":1e999,"routes":[]}',
    b'{"losses":1e999}',
    b'["r",["s"],1e999,1,1,1,1,false]',
)


def check_total(decode: Decode, expected: Any, data: bytes) -> None:
    try:
        decode(data)
    except expected:
        pass


@HYPOTHESIS_SETTINGS
@given(data=st.binary(max_size=60))
def test_any_bytes_decode_or_are_malformed(data: bytes) -> None:
    for decode, expected in DECODERS.items():
        check_total(decode, expected, data)


@HYPOTHESIS_SETTINGS
@given(document=DOCUMENTS)
def test_any_document_decodes_or_is_malformed(document: Any) -> None:
    data = orjson.dumps(document)
    for decode, expected in DECODERS.items():
        check_total(decode, expected, data)


def test_extreme_values_decode_or_are_malformed() -> None:
    for data in ODD_BYTES:
        for decode, expected in DECODERS.items():
            check_total(decode, expected, data)


def test_replica_with_one_odd_field_decodes_or_is_malformed() -> None:
    record = {
        "service": "s",
        "address": "10.1.0.1:80",
        "zone": "z",
        "slots": 2,
        "state": "ready",
        "coldRemainingMs": 40,
        "sequence": 1,
        "born": 7,
    }
    odd: list[Any] = [
        *(text for text in ODD_TEXTS if text != "\ud800"),
        *("10.1.0.1:808\u00b2", "10.1.0.1:0", "10.1.0.1:65536", ":80", "[::1]:80"),
        *(None, True, -1, 0, 2**64 - 1, 1e308, 1e300, [], {}, [[["x"]]]),
    ]
    for name in record:
        for value in odd:
            data = orjson.dumps(record | {name: value})
            check_total(lambda item: decode_replica("i-1", item), MalformedRecord, data)
    for name in ("", "a b", "i\r\nx: y", "\u00e9", "i" * 2_000):
        try:
            decode_replica(name, orjson.dumps(record))
        except MalformedRecord:
            continue
        raise AssertionError(f"the name {name[:10]!r} can't be sent in a header")


def test_numbers_in_texts_are_read_by_one_function() -> None:
    """`isdigit` is true of characters and lengths that `int` rejects."""
    places = [
        path.name
        for folder in ("platform", "gateway")
        for path in (SOURCE_FOLDER / folder).glob("*.py")
        if "isdigit" in path.read_text()
    ]
    assert places == []


def test_every_decoder_is_in_the_list() -> None:
    """A decoder is a public function whose name begins with decode, read or parse."""
    missing = []
    for folder in ("platform", "gateway"):
        for path in (SOURCE_FOLDER / folder).glob("*.py"):
            for node in ast.parse(path.read_text()).body:
                if not isinstance(node, ast.FunctionDef):
                    continue
                if node.name.startswith(("decode_", "read_", "parse_")):
                    listed = node.name in SOURCES or any(
                        getattr(item, "__name__", "") == node.name for item in DECODERS
                    )
                    if not listed and node.name not in NOT_OF_THE_GATEWAY:
                        missing.append(f"{path.name}: {node.name}")
    assert missing == []
