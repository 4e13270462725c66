"""Routing table: routes by host and longest path prefix."""

from collections.abc import Iterable, Mapping
from typing import Final

from attrs import field, frozen

from bronzebeam.routing.accounts import Account, digest_key, index_by_digest

PATH_SEPARATOR: Final = b"/"


@frozen(kw_only=True)
class WeightedService:
    """
    A service that receives a share of a route's requests.

    :ivar weight: share of the requests, relative to the other weights.
    """

    service: str
    weight: float


@frozen(kw_only=True, eq=False)
class Route:
    """
    How requests for one host and path prefix are served.

    :ivar idempotent: whether a request may run more than once.
    :ivar timeout_ms: maximum time until the caller gets an answer.
    :ivar target_latency_ms: time within which an answer has its full value.
    :ivar max_attempts: maximum number of replicas that a request may run on, for each
        shard.
    :ivar priority: priority of the requests; 0 is served first.
    :ivar destinations: services that share the requests; empty for a fan-out.
    :ivar shards: for a fan-out, the services that each hold a part of the answer;
        otherwise empty.
    :ivar top_records: number of records in the merged answer of a fan-out.
    :ivar least_shard_share: share of the shards (0 to 1) below which a fan-out fails.
    :ivar is_public: requests need no key where the configuration has accounts.
    :ivar regions: regions that its requests may be sent to; empty for any.
    """

    name: str
    host: str
    path_prefix: bytes
    idempotent: bool
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int
    priority: int
    destinations: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_records: int = 0
    least_shard_share: float = 0.0
    is_public: bool = False
    regions: tuple[str, ...] = ()

    @property
    def services(self) -> tuple[str, ...]:
        """Return all services that requests of this route may be sent to."""
        return self.shards or tuple(item.service for item in self.destinations)


@frozen(kw_only=True)
class BackendService:
    """
    A service of backend servers.

    :ivar connection_limit: connections that one of its replicas accepts in total.
    :ivar cold_start_seconds: time for which a replica stays cold after its start.
    :ivar cold_rate_per_second: requests a second that a cold replica takes from all
        instances together; 0 for no limit.
    """

    name: str
    connection_limit: int
    cold_start_seconds: float = 0.0
    cold_rate_per_second: float = 0.0


@frozen(kw_only=True)
class CallerLimits:
    """
    Size and time limits for the requests of callers.

    :ivar header_timeout_ms: time from the first byte of a request to its body.
    :ivar idle_timeout_ms: time that a connection may stay open without a request.
    """

    header_max_bytes: int = 65_536
    body_max_bytes: int = 1_048_576
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


def _index_routes(routes: Iterable[Route]) -> dict[str, dict[bytes, Route]]:
    index: dict[str, dict[bytes, Route]] = {}
    for route in routes:
        index.setdefault(route.host.lower(), {})[route.path_prefix] = route
    return index


@frozen(kw_only=True, eq=False)
class RouteTable:
    """
    The routes, accounts and limits of one version of the configuration.

    :ivar version: increases with each change.
    :ivar accounts: client accounts; if there are none, requests need no key.
    :ivar has_quotas: whether any account has a quota.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, BackendService]
    limits: CallerLimits = CallerLimits()
    accounts: tuple[Account, ...] = ()
    has_quotas: bool = field(init=False, default=False)
    _index: dict[str, dict[bytes, Route]] = field(init=False, repr=False)
    _named: dict[str, Route] = field(init=False, repr=False)
    _account_by_digest: dict[str, Account] = field(init=False, repr=False)
    _account_by_name: dict[str, Account] = field(init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        object.__setattr__(self, "_account_by_digest", index_by_digest(self.accounts))
        object.__setattr__(
            self, "_account_by_name", {item.name: item for item in self.accounts}
        )
        object.__setattr__(
            self, "has_quotas", any(item.is_limited for item in self.accounts)
        )
        object.__setattr__(self, "_index", _index_routes(self.routes))
        object.__setattr__(self, "_named", {item.name: item for item in self.routes})

    def by_name(self, name: str) -> Route | None:
        """Return the route with this name."""
        return self._named.get(name)

    def account_by_name(self, name: str) -> Account | None:
        """Return the account with this name."""
        return self._account_by_name.get(name)

    def account_by_key(self, key: bytes) -> Account | None:
        """Return the account that holds a key; None if none does."""
        if not key or not self.accounts:
            return None
        return self._account_by_digest.get(digest_key(key))

    def find(self, *, host: str, path: bytes) -> Route | None:
        """
        Return the route with the longest prefix of `path` on `host`.

        :param host: value of the Host header; a port is ignored.
        :param path: request target without its query.
        """
        routes = self._index.get(_host_name(host))
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind(PATH_SEPARATOR, 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def _host_name(host: str) -> str:
    name, separator, port = host.rpartition(":")
    if separator and port.isdigit():
        host = name
    return host.lower()
