"""Tests of the platform's formats of client accounts, keys and cold limits."""

import orjson
from hypothesis import given, strategies as st

from bronzebeam.platform.configuration import MalformedRecord, decode_configuration
from bronzebeam.platform.headers import PlatformHeaderCodec
from bronzebeam.routing.accounts import digest_key
from tests.fixtures_gateway import make_route
from tests.fixtures_routing import HYPOTHESIS_SETTINGS
from tests.test_platform_formats import JSON_VALUES, make_request


def configuration_with(account: object, **overrides: object) -> bytes:
    document = {
        "version": 4,
        "routes": [make_route("r", "/p/", service="s")],
        "services": [{"name": "s", "connectionLimit": 25}],
        "tenants": [account],
        **overrides,
    }
    return orjson.dumps(document)


def test_accounts_public_routes_and_cold_limits_are_decoded() -> None:
    document = {
        "version": 4,
        "routes": [
            make_route("a", "/p/", service="s", allowedRegions=["north"]),
            make_route("b", "/o/", service="s", public=True),
        ],
        "services": [
            {"name": "s", "connectionLimit": 25, "coldStartS": 20, "coldPerS": 3.5},
            {"name": "t", "connectionLimit": 25},
        ],
        "tenants": [
            {
                "name": "library",
                "apiKeys": ["k-1", "k-2"],
                "priority": 0,
                "ratePerS": 12.5,
                "burst": 30,
                "allowedRegions": ["north", "south"],
                "later": {"x": 1},
            },
            {"name": "archive", "apiKeys": [], "priority": None},
        ],
    }
    table = decode_configuration(orjson.dumps(document))
    library, archive = table.accounts
    assert (library.name, library.priority, library.rate_per_second) == (
        "library",
        0,
        12.5,
    )
    assert (library.burst_count, library.regions) == (30.0, ("north", "south"))
    assert library.is_limited and not archive.is_limited
    assert archive.priority is None and archive.regions == ()
    for key in (b"k-1", b"k-2"):
        assert table.account_by_key(key) is library
    for key in (b"", b"k-3", b"k", digest_key(b"k-1").encode()):
        assert table.account_by_key(key) is None
    assert [route.is_public for route in table.routes] == [False, True]
    assert [route.regions for route in table.routes] == [("north",), ()]
    service = table.services["s"]
    assert (service.cold_start_seconds, service.cold_rate_per_second) == (20.0, 3.5)
    assert table.services["t"].cold_rate_per_second == 0.0


def test_malformed_accounts_make_the_configuration_malformed() -> None:
    # Each of these would admit callers that the operator did not name, or drop a limit.
    good = {"name": "library", "apiKeys": ["secret-1"]}
    decode_configuration(configuration_with(good))
    for text in (
        configuration_with("library"),
        configuration_with({"apiKeys": ["secret-1"]}),
        configuration_with(good | {"name": ""}),
        configuration_with(good | {"name": "a\r\nx-other: 1"}),
        configuration_with(good | {"name": 7}),
        # A text is a list of characters, each of which would be a key.
        configuration_with(good | {"apiKeys": "secret-1"}),
        configuration_with(good | {"apiKeys": [7]}),
        configuration_with(good | {"apiKeys": {"secret-1": 1}}),
        configuration_with(good | {"allowedRegions": "north"}),
        configuration_with(good | {"ratePerS": "nan"}),
        configuration_with(good | {"ratePerS": "secret-1"}),
        configuration_with(good | {"burst": [1]}),
        configuration_with(good | {"priority": "first"}),
        # Without accounts, requests need no key.
        configuration_with(good, tenants={}),
        configuration_with(good, tenants="secret-1"),
        configuration_with(good, tenants=False),
        configuration_with(
            good, routes=[make_route("r", "/p/", service="s", public="false")]
        ),
        configuration_with(
            good, routes=[make_route("r", "/p/", service="s", allowedRegions="north")]
        ),
        configuration_with(good, services=[{"name": "s", "coldPerS": "few"}]),
        configuration_with(good, services=[{"name": "s", "coldStartS": True}]),
    ):
        try:
            decode_configuration(text)
        except MalformedRecord as error:
            # The reason is logged.
            assert "secret" not in str(error), error
            continue
        raise AssertionError(text)


@HYPOTHESIS_SETTINGS
@given(
    value=JSON_VALUES,
    field=st.sampled_from(
        ["name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions"]
    ),
)
def test_any_account_is_valid_or_malformed(value: object, field: str) -> None:
    account: dict[str, object] = {"name": "library", "apiKeys": ["k-1"]}
    for text in (
        configuration_with(account | {field: value}),
        configuration_with(value),
        configuration_with(account, tenants=value),
    ):
        try:
            table = decode_configuration(text)
        except MalformedRecord:
            continue
        for item in table.accounts:
            assert item.name.isprintable() and item.name
            assert 0.0 <= item.rate_per_second < float("inf")
            assert 0.0 <= item.burst_count < float("inf")
        assert table.account_by_key(b"") is None


def test_keys_are_not_kept_in_the_decoded_configuration() -> None:
    table = decode_configuration(
        configuration_with({"name": "library", "apiKeys": ["secret-1"]})
    )
    assert "secret-1" not in repr(table)
    # Not even their digests are printed.
    assert digest_key(b"secret-1") not in repr(table)


def test_key_and_account_of_a_caller_are_not_passed_on() -> None:
    request = make_request(
        [
            (b"host", b"app.example"),
            (b"x-bronzebeam-key", b"secret-1"),
            (b"x-bronzebeam-tenant-name", b"other"),
            (b"x-bronzebeam-key", b"secret-2"),
            (b"x-bronzebeam-tenant-name", b"another"),
        ],
        body=b"abc",
    )
    header_codec = PlatformHeaderCodec()
    head = header_codec.request_head(request)
    assert b"secret" not in head and b"tenant-name" not in head
    head = header_codec.request_head(request, account=b"library")
    assert b"secret" not in head and b"other" not in head
    assert head.count(b"x-bronzebeam-tenant-name:library\r\n") == 1
    metadata = header_codec.read_request(request.headers)
    assert "secret" not in repr(metadata)
