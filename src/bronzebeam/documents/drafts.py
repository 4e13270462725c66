"""Drafts: the files that operators edit."""

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
    A document under work, with the accepted one that it was made from.

    :ivar base: what it may replace; another document in force is a conflict.
    """

    author: str
    base: BaseRevision
    document: EnvironmentDocument


def load_draft(data: bytes, *, subject: str = "draft") -> Draft:
    """
    Decode and fully check a draft.

    :raises FindingsError: with all findings, their places inside the draft.
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
        return [Finding(place="", message="a draft is a JSON object")]
    findings = [
        Finding(place=f"/{name}", message="a draft has no such key")
        for name in value
        if name not in _KEYS
    ]
    findings += [
        Finding(place="", message=f"the key {name!r} is missing")
        for name in _KEYS
        if name not in value
    ]
    if not (isinstance(value.get("author"), str) and value["author"]):
        findings.append(Finding(place="/author", message="the author is not named"))
    if type(value.get("base_revision")) is not int:
        message = "the base revision is not a whole number"
        findings.append(Finding(place="/base_revision", message=message))
    if not isinstance(value.get("base_write_id"), str):
        message = "the base's write identifier is not a text"
        findings.append(Finding(place="/base_write_id", message=message))
    return findings
