"""Tests of differences between documents, and of drafts."""

import json

from attrs import evolve

from bronzebeam.documents.diff import ChangeKind, diff_documents
from bronzebeam.documents.drafts import Draft, dump_draft, load_draft
from bronzebeam.documents.model import ClassSpec
from bronzebeam.documents.review import BaseRevision
from bronzebeam.findings import FindingsError
from tests.fixtures_documents import example_document


def test_diff_matches_items_by_name() -> None:
    before = example_document()
    desk, planner = before.classes
    guests, bookings = before.services
    after = evolve(
        before,
        classes=(ClassSpec(name="kiosk", priority=0), planner, desk),
        services=(evolve(bookings, operations=bookings.operations[1:], replicas=4),),
    )
    found = [(item.kind, item.place) for item in diff_documents(before, after)]
    assert found == [
        (ChangeKind.ADDED, "/classes/0"),
        (ChangeKind.REORDERED, "/classes"),
        (ChangeKind.REMOVED, "/services/0"),
        (ChangeKind.CHANGED, "/services/0/replicas"),
        (ChangeKind.REMOVED, "/services/1/operations/0"),
    ]
    assert diff_documents(before, before) == ()


def test_draft_round_trip_and_places_of_findings() -> None:
    base = BaseRevision(revision=3, write_id="w-3")
    draft = Draft(author="ada", base=base, document=example_document())
    data = dump_draft(draft)
    assert load_draft(data) == draft
    value = json.loads(data)
    value["document"]["services"][0]["shards"] = 0
    assert places_of_draft_findings(value) == ["/document/services/0/shards"]
    value.update(author="", base_revision="3", note="x")
    assert places_of_draft_findings(value) == ["/note", "/author", "/base_revision"]


def places_of_draft_findings(value: object) -> list[str]:
    try:
        load_draft(json.dumps(value).encode())
    except FindingsError as error:
        return [item.place for item in error.findings]
    return []
