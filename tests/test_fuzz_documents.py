"""Fuzz tests of documents, accepted documents and entry settings."""

import copy
from pathlib import Path
from typing import Any

import orjson
from hypothesis import example, given, settings, strategies as st

from bronzebeam.documents.loading import (
    accepted_from_json,
    accepted_to_json,
    load_document,
)
from bronzebeam.documents.model import AcceptedDocument, EnvironmentDocument
from bronzebeam.findings import FindingsError
from bronzebeam.settings import EntrySettings, parse_settings
from tests.fixtures_asgi import JSON_VALUES

EXAMPLES = Path(__file__).parent.parent / "examples" / "cascade"
DOCUMENT = orjson.loads((EXAMPLES / "production.json").read_bytes())
ACCEPTED = accepted_to_json(
    AcceptedDocument(
        revision=1,
        write_id="w-1",
        content_hash="0" * 64,
        author="ana",
        approved_by="bo",
        document=load_document(orjson.dumps(DOCUMENT)),
    )
)
SETTINGS = orjson.loads((EXAMPLES / "entry-1.json").read_bytes())
STEPS = st.lists(st.integers(0, 30), min_size=1, max_size=6)
VALUES: st.SearchStrategy[Any] = JSON_VALUES | st.sampled_from(
    [1e308, -1, 0, 2**63, "", [], {}, None, True]
)
BYTES = st.binary(max_size=200)
DEEPLY_NESTED = b"[" * 100_000


def _replace_value(base: Any, steps: list[int], value: Any) -> bytes:
    """Return `base` as JSON with one value replaced by `value`; `steps` is its path."""
    root = copy.deepcopy(base)
    place = root
    for number, step in enumerate(steps):
        keys = list(place) if isinstance(place, dict) else list(range(len(place)))
        if not keys:
            break
        key = keys[step % len(keys)]
        if number == len(steps) - 1 or not isinstance(place[key], (dict, list)):
            place[key] = value
            break
        place = place[key]
    try:
        return orjson.dumps(root)
    except TypeError:
        return b"null"


def _check_document(data: bytes) -> None:
    try:
        document = load_document(data)
    except FindingsError as error:
        assert error.findings and str(error)
        return
    assert isinstance(document, EnvironmentDocument)
    assert all(document.connection_share(item) >= 1 for item in document.services)


def _check_settings(data: bytes) -> None:
    try:
        assert isinstance(parse_settings(data, subject="test"), EntrySettings)
    except FindingsError as error:
        assert error.findings and str(error)


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(data=BYTES)
@example(data=b'{"a": 1, "a": 2}')
@example(data=b"NaN")
def test_arbitrary_bytes_load_or_give_findings(data: bytes) -> None:
    _check_document(data)
    _check_settings(data)


def test_deeply_nested_settings_are_rejected() -> None:
    _check_settings(DEEPLY_NESTED)


def test_deeply_nested_documents_are_rejected() -> None:
    _check_document(DEEPLY_NESTED)


@settings(derandomize=True, database=None, deadline=None, max_examples=400)
@given(steps=STEPS, value=VALUES)
def test_changed_document_loads_or_gives_findings(steps: list[int], value: Any) -> None:
    _check_document(_replace_value(DOCUMENT, steps, value))


@settings(derandomize=True, database=None, deadline=None, max_examples=400)
@given(steps=STEPS, value=VALUES)
def test_changed_settings_load_or_give_findings(steps: list[int], value: Any) -> None:
    _check_settings(_replace_value(SETTINGS, steps, value))


@settings(derandomize=True, database=None, deadline=None, max_examples=400)
@given(steps=STEPS, value=VALUES)
def test_changed_accepted_document_loads_or_gives_findings(
    steps: list[int], value: Any
) -> None:
    stored = orjson.loads(_replace_value(ACCEPTED, steps, value))
    for candidate in (stored, value):
        try:
            assert isinstance(accepted_from_json(candidate), AcceptedDocument)
        except FindingsError as error:
            assert error.findings and str(error)
