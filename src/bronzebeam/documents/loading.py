"""Conversion of environment documents and accepted documents from and to JSON."""

import hashlib
import json
from collections.abc import Iterable
from enum import Enum
from importlib.resources import files
from typing import Any, Final, TypeVar

import attrs
import orjson
from jsonschema import Draft202012Validator

from bronzebeam.documents.checks import check_document
from bronzebeam.documents.model import (
    AcceptedDocument,
    BackendSpec,
    CallerLimitSpec,
    ClassSpec,
    CoverageSpec,
    DeadlineSpec,
    EnvironmentDocument,
    FleetSpec,
    HedgingSpec,
    OperationSpec,
    ServiceKind,
    ServiceSpec,
)
from bronzebeam.findings import Finding, FindingsError, json_pointer

SpecT = TypeVar("SpecT", bound=attrs.AttrsInstance)

_CANONICAL: Final = orjson.OPT_SORT_KEYS


def _load_validator(name: str) -> Draft202012Validator:
    text = files("bronzebeam.documents").joinpath(name).read_text("utf-8")
    return Draft202012Validator(json.loads(text))


_DOCUMENT_VALIDATOR: Final = _load_validator("schema.json")
_ACCEPTED_VALIDATOR: Final = _load_validator("accepted_schema.json")


def load_document(data: bytes, *, subject: str = "document") -> EnvironmentDocument:
    """
    Decode an operator's document and run all checks on it.

    The checks run in three stages: the JSON text, the schema, and the checks that
    involve more than one field.

    :param subject: name of the input in the findings, for example a file name.
    :raises FindingsError: with all findings of the first stage that has any.
    """
    document = document_from_json(parse_json(data, subject), subject=subject)
    findings = check_document(document)
    if findings:
        raise FindingsError(subject=subject, findings=findings)
    return document


def document_from_json(value: Any, *, subject: str = "document") -> EnvironmentDocument:
    """
    Build a document from decoded JSON, with only the schema checked.

    :raises FindingsError: with all violations of the schema.
    """
    _validate(_DOCUMENT_VALIDATOR, value, subject)
    return EnvironmentDocument(
        environment=value["environment"],
        fleet=_build(FleetSpec, value["fleet"]),
        classes=tuple(_build(ClassSpec, item) for item in value["classes"]),
        caller_limit=_build(CallerLimitSpec, value["caller_limit"]),
        services=tuple(_build_service(item) for item in value["services"]),
    )


def document_to_json(document: EnvironmentDocument) -> dict[str, Any]:
    """Return the document as plain JSON values, including defaults."""
    return attrs.asdict(document, value_serializer=_serialize)


def canonical_json(value: Any) -> bytes:
    """Encode to canonical JSON: equal values give the same bytes, with sorted keys."""
    return orjson.dumps(value, option=_CANONICAL)


def content_hash(document: EnvironmentDocument) -> str:
    """Return the SHA-256 of the document's canonical JSON, in hexadecimal."""
    return _hash_json(document_to_json(document))


def accepted_from_json(value: Any) -> AcceptedDocument:
    """
    Build an accepted document from a value read from the store or a peer.

    The hash is checked over the value as received, not over the parsed document,
    because this release may fill in defaults that did not exist in the release that
    wrote it.

    :raises FindingsError: if it is malformed or its content hash does not match.
    """
    subject = "accepted document"
    _validate(_ACCEPTED_VALIDATOR, value, subject)
    if _hash_json(value["document"]) != value["content_hash"]:
        finding = Finding(
            place="/content_hash",
            message="the content hash does not match the document",
        )
        raise FindingsError(subject=subject, findings=(finding,))
    return AcceptedDocument(
        revision=int(value["revision"]),
        write_id=value["write_id"],
        content_hash=value["content_hash"],
        author=value["author"],
        approved_by=value["approved_by"],
        document=document_from_json(value["document"], subject=subject),
    )


def accepted_to_json(accepted: AcceptedDocument) -> dict[str, Any]:
    """Return the accepted document as plain JSON values for the store and peers."""
    value = attrs.asdict(accepted, recurse=False)
    value["document"] = document_to_json(accepted.document)
    return value


def _serialize(_instance: Any, _attribute: Any, value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    return list(value) if isinstance(value, tuple) else value


def _hash_json(value: Any) -> str:
    return hashlib.sha256(canonical_json(value)).hexdigest()


def parse_json(data: bytes, subject: str) -> Any:
    """
    Decode JSON text.

    :raises FindingsError: if it is invalid or an object has duplicate keys.
    """
    duplicate_keys: list[str] = []

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        names = [name for name, _ in pairs]
        duplicate_keys.extend(name for name in set(names) if names.count(name) > 1)
        return dict(pairs)

    try:
        value = json.loads(
            data, object_pairs_hook=build_object, parse_constant=_reject_constant
        )
    except ValueError as error:
        findings = [Finding(place="", message=f"not valid JSON: {error}")]
    except RecursionError:
        findings = [Finding(place="", message="the JSON is nested too deeply")]
    else:
        findings = [
            Finding(place="", message=f"duplicate key {name!r} in an object")
            for name in sorted(duplicate_keys)
        ]
    if findings:
        raise FindingsError(subject=subject, findings=findings)
    return value


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _validate(validator: Draft202012Validator, value: Any, subject: str) -> None:
    findings = _schema_findings(validator, value)
    if findings:
        raise FindingsError(subject=subject, findings=findings)


def _schema_findings(validator: Draft202012Validator, value: Any) -> list[Finding]:
    errors: Iterable[Any] = validator.iter_errors(value)
    return sorted(
        (
            Finding(place=json_pointer(error.absolute_path), message=error.message)
            for error in errors
        ),
        key=lambda finding: finding.place,
    )


def _build_service(value: dict[str, Any]) -> ServiceSpec:
    nested = {
        "kind": ServiceKind(value["kind"]),
        "backend": _build(BackendSpec, value["backend"]),
        "deadline": _build(DeadlineSpec, value["deadline"]),
        "coverage": _build(CoverageSpec, value.get("coverage", {})),
        "hedging": _build(HedgingSpec, value.get("hedging", {})),
        "operations": tuple(
            _build(OperationSpec, item) for item in value.get("operations", ())
        ),
    }
    return _build(ServiceSpec, {**value, **nested})


def _build(spec: type[SpecT], value: dict[str, Any]) -> SpecT:
    """
    Build an instance of `spec`, with each number converted to the type of its field.

    The conversion gives documents that differ only in 2 and 2.0 the same hash.
    """
    types = {item.name: item.type for item in attrs.fields(spec)}
    return spec(
        **{key: _coerce_number(item, types[key]) for key, item in value.items()}
    )


def _coerce_number(value: Any, expected_type: Any) -> Any:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return value
    return float(value) if expected_type is float else int(value)
