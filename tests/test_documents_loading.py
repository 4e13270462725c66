"""Tests of loading and checking environment documents."""

import copy
import json
from collections.abc import Callable
from typing import Any

from hypothesis import given, settings, strategies as st

from bronzebeam.documents.loading import (
    accepted_from_json,
    accepted_to_json,
    canonical_json,
    content_hash,
    document_from_json,
    document_to_json,
    load_document,
)
from bronzebeam.documents.model import AcceptedDocument, EnvironmentDocument
from bronzebeam.findings import FindingsError
from tests.fixtures_documents import EXAMPLES, example_json


def places_after_change(change: Callable[[Any], None]) -> list[str]:
    """Return the places of findings after applying `change` to the small example."""
    value = example_json()
    change(value)
    return places_of_findings(json.dumps(value).encode())


def places_of_findings(data: bytes) -> list[str]:
    try:
        load_document(data)
    except FindingsError as error:
        return [finding.place for finding in error.findings]
    return []


def test_example_documents_are_valid_and_have_expected_sizes() -> None:
    shapes = {}
    for name in ("cascade", "formosa", "small"):
        document = load_document((EXAMPLES / name / "production.json").read_bytes())
        shapes[name] = [
            (service.shards, service.replicas, service.backend.slots)
            for service in document.services
        ]
    assert shapes["cascade"] == [(20, 2, 2), (30, 2, 2), (0, 4, 2), (0, 4, 2)]
    assert shapes["formosa"] == [(20, 2, 2), (30, 2, 2), (0, 3, 4), (0, 3, 4)]
    assert [shape[:2] for shape in shapes["small"]] == [(4, 2), (0, 3)]


def test_all_schema_findings_are_reported_with_their_places() -> None:
    def change(value: Any) -> None:
        value["fleet"]["entry_instances"] = 0
        value["services"][0]["backend"]["slots"] = "two"
        value["services"][1]["operations"][0]["idempotent"] = "yes"
        value["services"][1]["shard"] = 4

    assert places_after_change(change) == [
        "/fleet/entry_instances",
        "/services/0/backend/slots",
        "/services/1",
        "/services/1/operations/0/idempotent",
    ]


def test_all_findings_across_fields_are_reported() -> None:
    def change(value: Any) -> None:
        search, call = value["services"]
        value["classes"][1]["name"] = value["classes"][0]["name"]
        search["backend"]["connections"] = 1
        search["shards"] = 0
        search["deadline"]["default_ms"] = search["deadline"]["maximum_ms"] + 1
        search["coverage"] = {"soft_deadline_ms": 99_999, "minimum_share": 1.0}
        search["hedging"] = {"extra_load_share": 0.06}
        call["name"] = search["name"]
        call["shards"] = 2
        call["deadline"]["minimum_ms"] = call["deadline"]["maximum_ms"] + 1
        call["coverage"] = {"minimum_share": 0.5}
        call["operations"][1]["name"] = call["operations"][0]["name"]

    assert places_after_change(change) == [
        "/classes/1/name",
        "/services/1/name",
        "/services/0/backend/connections",
        "/services/0/shards",
        "/services/0/deadline/default_ms",
        "/services/0/coverage/soft_deadline_ms",
        "/services/0/hedging/extra_load_share",
        "/services/0/coverage/minimum_share",
        "/services/1/shards",
        "/services/1/coverage/minimum_share",
        "/services/1/deadline/minimum_ms",
        "/services/1/operations/1/name",
    ]


def test_operations_are_required_for_calls_and_rejected_for_searches() -> None:
    def change(value: Any) -> None:
        search, call = value["services"]
        search["operations"], call["operations"] = call["operations"], []

    assert places_after_change(change) == [
        "/services/0/operations",
        "/services/1/operations",
    ]


def test_duplicate_keys_and_invalid_json_are_rejected() -> None:
    text = json.dumps(example_json())
    assert places_of_findings(
        text.replace('"fleet"', '"fleet": {}, "fleet"').encode()
    ) == [""]
    assert places_of_findings(text.encode()[:-1]) == [""]
    assert places_of_findings(b"\xff") == [""]
    assert places_of_findings(text.replace("0.05", "NaN").encode()) == [""]


def accepted_example() -> AcceptedDocument:
    document = document_from_json(example_json())
    return AcceptedDocument(
        revision=7,
        write_id="w-1",
        content_hash=content_hash(document),
        author="ada",
        approved_by="grace",
        document=document,
    )


def test_accepted_document_round_trip() -> None:
    accepted = accepted_example()
    value = json.loads(canonical_json(accepted_to_json(accepted)))
    assert accepted_from_json(value) == accepted
    reordered = {**value, "document": dict(reversed(value["document"].items()))}
    assert accepted_from_json(reordered) == accepted


def test_accepted_document_with_wrong_content_hash_is_rejected() -> None:
    value = copy.deepcopy(accepted_to_json(accepted_example()))
    value["document"]["fleet"]["entry_instances"] += 1
    try:
        accepted_from_json(value)
    except FindingsError as error:
        assert [finding.place for finding in error.findings] == ["/content_hash"]
    else:
        raise AssertionError(
            "a document that does not match its content hash was accepted"
        )


def test_content_hash_ignores_key_order_and_number_format() -> None:
    value = example_json()
    backend = value["services"][0]["backend"]
    backend["connect_ms"], backend["slots"] = int(backend["connect_ms"]), 2.0
    reordered = dict(reversed(value.items()))
    first = document_from_json(example_json())
    assert content_hash(document_from_json(reordered)) == content_hash(first)


@settings(derandomize=True, database=None, deadline=None)
@given(
    entries=st.integers(1, 12),
    rate=st.floats(0.1, 1e6),
    share=st.floats(0, 0.05),
    soft_ms=st.none() | st.integers(1, 100),
)
def test_document_round_trip(
    entries: int, rate: float, share: float, soft_ms: int | None
) -> None:
    value = example_json()
    value["fleet"]["entry_instances"] = entries
    value["caller_limit"]["rate_per_second"] = rate
    value["services"][0]["hedging"] = {"extra_load_share": share}
    value["services"][0]["coverage"] = {"soft_deadline_ms": soft_ms}
    document: EnvironmentDocument = document_from_json(value)
    data = canonical_json(document_to_json(document))
    assert document_from_json(json.loads(data)) == document
