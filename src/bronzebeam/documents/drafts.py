"""Drafts: files in which operators edit documents before they are approved."""

import json
from typing import Any, Final

from attrs import frozen

from bronzebeam.documents.loading import (
    document_to_json,
    load_document,
    parse_json,
)
from bronzebeam.documents.model import EnvironmentDocument
from bronzebeam.documents.review import BaseRevision
from bronzebeam.findings import Finding, FindingsError

_KEYS: Final = ("author", "base_revision", "base_write_id", "document")


@frozen(kw_only=True)
class Draft:
    """
    An edited document and the accepted revision that it is based on.

    :ivar base: the only revision that it may replace. It is a conflict if another one
        is active.
    """

    author: str
    base: BaseRevision
    document: EnvironmentDocument


def load_draft(data: bytes, *, subject: str = "draft") -> Draft:
    """
    Decode a draft and run all checks on it.

    :raises FindingsError: if there are findings; their places are relative to the
        draft.
    """
    value = parse_json(data, subject)
    findings = _draft_findings(value)
    if findings:
        raise FindingsError(subject=subject, findings=findings)
    try:
        document = load_document(
            json.dumps(value["document"]).encode(), subject=subject
        )
    except FindingsError as error:
        moved = tuple(
            Finding(place="/document" + item.place, message=item.message)
            for item in error.findings
        )
        raise FindingsError(subject=subject, findings=moved) from None
    base = BaseRevision(
        revision=value["base_revision"], write_id=value["base_write_id"]
    )
    return Draft(author=value["author"], base=base, document=document)


def dump_draft(draft: Draft) -> bytes:
    """Encode a draft for editing."""
    value = {
        "author": draft.author,
        "base_revision": draft.base.revision,
        "base_write_id": draft.base.write_id,
        "document": document_to_json(draft.document),
    }
    return json.dumps(value, indent=2).encode() + b"\n"


def is_draft(value: Any) -> bool:
    """Return whether decoded JSON is a draft, not a plain document."""
    return isinstance(value, dict) and "document" in value


def _draft_findings(value: Any) -> list[Finding]:
    if not isinstance(value, dict):
        return [Finding(place="", message="a draft must be a JSON object")]
    findings = [
        Finding(place=f"/{name}", message="unknown key")
        for name in value
        if name not in _KEYS
    ]
    findings += [
        Finding(place="", message=f"the key {name!r} is missing")
        for name in _KEYS
        if name not in value
    ]
    if not (isinstance(value.get("author"), str) and value["author"]):
        findings.append(
            Finding(
                place="/author", message="the author must be a string that is not empty"
            )
        )
    if type(value.get("base_revision")) is not int:
        message = "the base revision must be an integer"
        findings.append(Finding(place="/base_revision", message=message))
    if not isinstance(value.get("base_write_id"), str):
        message = "the write identifier of the base must be a string"
        findings.append(Finding(place="/base_write_id", message=message))
    return findings
