"""Settings of an entry instance, read from a JSON file."""

import ipaddress
from collections.abc import Iterable, Iterator
from functools import cache
from importlib.resources import files
from pathlib import Path
from typing import Any, Final
from urllib.parse import urlsplit

import orjson
from attrs import frozen
from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

from bronzebeam.findings import Finding, FindingsError, json_pointer
from bronzebeam.socket_address import SocketAddress

SCHEMA_FILE: Final = "settings_schema.json"
URL_FIELDS: Final = ("store_url", "instance_list_url")
LISTEN_FIELDS: Final = ("caller_listen", "peer_listen")


@frozen(kw_only=True)
class DrainSettings:
    """
    Timing of a graceful shutdown.

    :ivar lag_ms: time to keep serving, reported as not ready, while the load balancer
        notices it.
    :ivar bound_ms: longest time from the signal to the exit.
    """

    lag_ms: int = 5_000
    bound_ms: int = 30_000


@frozen(kw_only=True)
class EntrySettings:
    """
    Settings of one entry instance.

    :ivar instance: name of this instance, unique within the environment.
    :ivar environment: environment whose document this instance applies.
    :ivar caller_listen: address to which callers connect.
    :ivar peer_listen: address to which other entry instances and metrics scrapers
        connect.
    :ivar store_url: base URL of the configuration store.
    :ivar instance_list_url: base URL of the list of live and leaving instances.
    :ivar store_timeout_ms: timeout of a store call; does not limit the wait of a watch.
    :ivar trace_sample_share: share (0 to 1) of queries that are traced.
    :ivar log_spans: write the spans of traced queries to the log.
    :ivar request_body_max_bytes: largest request body that is accepted.
    """

    instance: str
    environment: str
    region: str
    failure_domain: str
    caller_listen: SocketAddress
    peer_listen: SocketAddress
    store_url: str
    instance_list_url: str
    store_timeout_ms: int = 1_000
    trace_sample_share: float = 0.01
    log_spans: bool = True
    request_body_max_bytes: int = 1_048_576
    drain: DrainSettings = DrainSettings()


def load_settings(path: Path) -> EntrySettings:
    """
    Read and validate a settings file.

    :raises FindingsError: with all findings, or one if the file cannot be read.
    """
    subject = str(path)
    try:
        raw = path.read_bytes()
    except (OSError, ValueError) as error:
        cause = getattr(error, "strerror", None) or str(error)
        finding = Finding(place="", message=f"The file cannot be read: {cause}.")
        raise _findings_error(subject, (finding,)) from error
    return parse_settings(raw, subject=subject)


def parse_settings(raw: bytes, *, subject: str) -> EntrySettings:
    """
    Validate settings given as JSON text.

    :param subject: name of the validated file, for the error.
    :raises FindingsError: with all findings.
    """
    try:
        value = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        finding = Finding(
            place="",
            message=f"Invalid JSON: {error.msg}, line {error.lineno}, "
            f"column {error.colno}.",
        )
        raise _findings_error(subject, (finding,)) from error
    findings = check_settings(value)
    if findings:
        raise _findings_error(subject, findings)
    return _build_settings(value)


def check_settings(value: Any) -> tuple[Finding, ...]:
    """Validate decoded settings; return all findings, ordered by place."""
    findings = list(_schema_findings(value))
    if isinstance(value, dict):
        findings.extend(_url_findings(value))
        findings.extend(_listen_findings(value))
        findings.extend(_drain_findings(value))
    # The validator raises one error for each missing setting of an object, and each
    # error is converted to findings for all of them; the set removes the duplicates.
    return tuple(sorted(set(findings), key=lambda item: (item.place, item.message)))


def _findings_error(subject: str, findings: tuple[Finding, ...]) -> FindingsError:
    return FindingsError(subject=subject, findings=findings)


@cache
def _validator() -> Draft202012Validator:
    schema = orjson.loads(files("bronzebeam").joinpath(SCHEMA_FILE).read_bytes())
    Draft202012Validator.check_schema(schema)
    return Draft202012Validator(schema)


def _schema_findings(value: Any) -> Iterator[Finding]:
    for error in _validator().iter_errors(value):
        yield from _convert_schema_error(error)


def _convert_schema_error(error: ValidationError) -> Iterator[Finding]:
    path = list(error.absolute_path)
    # The library types these as possibly unset, but errors from a validator always
    # have them.
    instance: Any = error.instance
    expected: Any = error.validator_value
    schema: Any = error.schema
    if error.validator == "required":
        for name in expected:
            if name not in instance:
                place = json_pointer([*path, name])
                yield Finding(place=place, message="This setting is missing.")
        return
    if error.validator == "additionalProperties":
        for name in instance.keys() - schema["properties"].keys():
            place = json_pointer([*path, name])
            yield Finding(place=place, message="Unknown setting.")
        return
    yield Finding(place=json_pointer(path), message=f"{error.message}.")


def _url_findings(value: dict[str, Any]) -> Iterator[Finding]:
    for name in URL_FIELDS:
        url = value.get(name)
        if isinstance(url, str) and not _is_ip_url(url):
            yield Finding(
                place=json_pointer([name]),
                message="Must be an http URL with an IP address and a port.",
            )


def _listen_findings(value: dict[str, Any]) -> Iterator[Finding]:
    listen_values = [value.get(name) for name in LISTEN_FIELDS]
    for name, listen_value in zip(LISTEN_FIELDS, listen_values):
        address = (
            listen_value.get("address") if isinstance(listen_value, dict) else None
        )
        if isinstance(address, str) and not _is_ip_address(address):
            yield Finding(
                place=json_pointer([name, "address"]),
                message="Must be an IP address.",
            )
    if isinstance(listen_values[0], dict) and listen_values[0] == listen_values[1]:
        yield Finding(
            place=json_pointer(["peer_listen"]),
            message="Must differ from caller_listen.",
        )


def _drain_findings(value: dict[str, Any]) -> Iterator[Finding]:
    drain = value.get("drain", {})
    if not isinstance(drain, dict):
        return
    default = DrainSettings()
    lag_ms = drain.get("lag_ms", default.lag_ms)
    bound_ms = drain.get("bound_ms", default.bound_ms)
    if _all_numbers((lag_ms, bound_ms)) and bound_ms <= lag_ms:
        yield Finding(
            place=json_pointer(["drain", "bound_ms"]),
            message=f"Must be greater than lag_ms, which is {lag_ms}.",
        )


def _all_numbers(values: Iterable[Any]) -> bool:
    return all(isinstance(item, (int, float)) for item in values)


def _is_ip_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        return (
            parts.scheme == "http"
            and parts.port is not None
            and _is_ip_address(parts.hostname or "")
            and parts.username is None
        )
    except ValueError:
        return False


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _build_settings(value: dict[str, Any]) -> EntrySettings:
    fields = dict(value)
    fields["caller_listen"] = SocketAddress(**value["caller_listen"])
    fields["peer_listen"] = SocketAddress(**value["peer_listen"])
    if "drain" in value:
        fields["drain"] = DrainSettings(**value["drain"])
    return EntrySettings(**fields)
