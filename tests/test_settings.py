"""Tests of the entry settings and of the command that checks them."""

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import orjson
from click.testing import CliRunner, Result
from hypothesis import given, settings, strategies as st

from bronzebeam.cli_settings import settings as settings_group
from bronzebeam.findings import FindingsError
from bronzebeam.settings import (
    DrainSettings,
    EntrySettings,
    check_settings,
    parse_settings,
)
from bronzebeam.socket_address import SocketAddress

EXAMPLES = Path(__file__).parent.parent / "examples"
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**60), 2**60) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


def make_settings(**changes: Any) -> dict[str, Any]:
    """Build settings as decoded JSON, with the fields in `changes` replaced."""
    value: dict[str, Any] = {
        "instance": "entry-1",
        "environment": "trial",
        "region": "north",
        "failure_domain": "a",
        "caller_listen": {"address": "127.0.0.1", "port": 8101},
        "peer_listen": {"address": "127.0.0.1", "port": 8201},
        "store_url": "http://127.0.0.1:8001",
        "instance_list_url": "http://127.0.0.1:8002",
    }
    return value | changes


def finding_places(value: Any) -> list[str]:
    """Return the places of all findings."""
    return [finding.place for finding in check_settings(value)]


def run_check_command(raw: bytes | None) -> Result:
    """Run `settings check` on a file that contains `raw`, or on a missing file."""
    with TemporaryDirectory() as directory:
        path = Path(directory) / "entry.json"
        if raw is not None:
            path.write_bytes(raw)
        return CliRunner().invoke(settings_group, ["check", str(path)])


def test_minimal_settings_use_defaults() -> None:
    checked = parse_settings(orjson.dumps(make_settings()), subject="test")
    assert checked.caller_listen == SocketAddress(address="127.0.0.1", port=8101)
    assert checked.caller_listen.bind == "127.0.0.1:8101"
    assert checked.drain == DrainSettings()


def test_all_settings_are_read() -> None:
    value = make_settings(
        caller_listen={"address": "::1", "port": 1},
        drain={"lag_ms": 1, "bound_ms": 2},
        log_spans=False,
        request_body_max_bytes=9,
        store_timeout_ms=10,
        trace_sample_share=1,
    )
    checked = parse_settings(orjson.dumps(value), subject="test")
    assert checked.caller_listen.bind == "[::1]:1"
    assert checked.drain == DrainSettings(lag_ms=1, bound_ms=2)
    assert checked.trace_sample_share == 1
    assert set(value) == {item.name for item in EntrySettings.__attrs_attrs__}


def test_all_findings_are_reported_with_their_places() -> None:
    value = make_settings(
        instance="Entry 1",
        colour="red",
        trace_sample_share=2,
        peer_listen={"address": "localhost", "port": 0},
        store_url="http://store:80",
        drain={"lag_ms": 10, "bound_ms": 10},
    )
    del value["region"]
    assert finding_places(value) == [
        "/colour",
        "/drain/bound_ms",
        "/instance",
        "/peer_listen/address",
        "/peer_listen/port",
        "/region",
        "/store_url",
        "/trace_sample_share",
    ]


def test_bound_is_checked_against_the_default_lag() -> None:
    assert finding_places(make_settings(drain={"bound_ms": 5_000})) == [
        "/drain/bound_ms"
    ]


def test_identical_listen_addresses_are_rejected() -> None:
    same = {"address": "127.0.0.1", "port": 8101}
    assert finding_places(make_settings(peer_listen=same)) == ["/peer_listen"]


def test_invalid_urls_are_rejected() -> None:
    for url in (
        "",
        "https://127.0.0.1:1",
        "http://127.0.0.1",
        "http://127.0.0.1:99999",
        "http://u:p@127.0.0.1:1",
        "http://[::1",
    ):
        assert set(finding_places(make_settings(store_url=url))) == {"/store_url"}, url


def test_invalid_json_is_reported_with_its_line() -> None:
    try:
        parse_settings(b'{\n  "instance": }', subject="file")
    except FindingsError as error:
        assert [finding.place for finding in error.findings] == [""]
        assert "line 2" in error.findings[0].message
    else:
        raise AssertionError("bad JSON was accepted")


def test_check_accepts_the_examples() -> None:
    paths = sorted(EXAMPLES.glob("*/entry-*.json"))
    assert len(paths) >= 2
    for path in paths:
        result = CliRunner().invoke(settings_group, ["check", str(path)])
        assert result.exit_code == 0, result.output


def test_check_prints_all_findings_and_exits_with_2() -> None:
    result = run_check_command(orjson.dumps(make_settings(instance="", store_url="x")))
    assert result.exit_code == 2
    assert "/instance: " in result.output and "/store_url: " in result.output
    assert isinstance(result.exception, SystemExit)


def test_check_reports_unreadable_files_without_traceback() -> None:
    for raw in (None, b"", b"\xff\xfe", b"[" * 100_000, b"null"):
        result = run_check_command(raw)
        assert result.exit_code == 2, raw
        assert isinstance(result.exception, SystemExit)
    directory = CliRunner().invoke(settings_group, ["check", str(EXAMPLES)])
    assert directory.exit_code == 2
    assert "Is a directory" in directory.output


@settings(derandomize=True, database=None, deadline=None)
@given(
    name=st.sampled_from(sorted(make_settings(drain={}, log_spans=True))),
    value=JSON_VALUES,
)
def test_arbitrary_values_are_either_valid_or_findings(name: str, value: Any) -> None:
    changed = make_settings(**{name: value})
    if check_settings(changed):
        return
    assert isinstance(
        parse_settings(orjson.dumps(changed), subject="test"), EntrySettings
    )


def test_each_missing_setting_is_reported_once() -> None:
    findings = check_settings({})
    places = [item.place for item in findings]
    assert "/store_url" in places and "/peer_listen" in places
    assert len(places) == len(set(places))
