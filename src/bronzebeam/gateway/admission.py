"""Admission control: limits the requests in flight while replicas are overloaded."""

import random

from attrs import define, field

from bronzebeam.routing.overload import AdaptiveLimit
from bronzebeam.routing.routes import Route, RouteTable
from bronzebeam.telemetry.decisions import DecisionLog

ServiceSet = frozenset[str]


@define(kw_only=True, eq=False, repr=False)
class AdmissionPermit:
    """
    Permission for one request to be in flight, released when it ends.

    :ivar refused_count: sub-requests that replicas turned away for lack of room.
    """

    limit: AdaptiveLimit
    route: Route
    log: DecisionLog
    refused_count: int = 0
    _is_released: bool = False

    def take_release(self) -> bool:
        """Return whether this is the first call; a request may end after a fault."""
        is_first, self._is_released = not self._is_released, True
        return is_first

    def release(self, *, elapsed_ms: float | None, now_seconds: float) -> None:
        """
        Release the permit, and record the latency of the request.

        :param elapsed_ms: time until the request could be answered, or its whole
            duration if it never could; None if it does not depend on the load.
        """
        if not self.take_release():
            return
        self.limit.leave()
        if elapsed_ms is None:
            return
        was_reduced = self.limit.is_reduced
        self.limit.observe(
            elapsed_ms=elapsed_ms,
            target_latency_ms=self.route.target_latency_ms,
            now_seconds=now_seconds,
        )
        if self.limit.is_reduced is not was_reduced:
            self._log_change(elapsed_ms)

    def _log_change(self, elapsed_ms: float) -> None:
        self.log.event(
            "overload_found" if self.limit.is_reduced else "overload_over",
            route=self.route.name,
            limit=round(self.limit.limit, 1),
            in_flight=self.limit.in_flight,
            elapsed_ms=round(elapsed_ms, 1),
            target_ms=self.route.target_latency_ms,
        )


@define(kw_only=True, eq=False, repr=False)
class Admission:
    """Adaptive limits on the requests in flight, one for each set of services."""

    rng: random.Random
    log: DecisionLog
    _limits: dict[ServiceSet, AdaptiveLimit] = field(factory=dict)
    _ranks: dict[str, int] = field(factory=dict)
    _services: dict[str, ServiceSet] = field(factory=dict)
    _version: int = 0

    def admit(
        self, *, table: RouteTable, route: Route, is_retry: bool
    ) -> AdmissionPermit | None:
        """
        Admit a request, or return None if it has to be refused.

        :param is_retry: the request is a retry by a caller.
        """
        if table.version != self._version:
            self._apply_table(table)
        services = self._services[route.name]
        limit = self._limits.get(services)
        if limit is None:
            limit = self._limits[services] = AdaptiveLimit()
        rank = self._ranks.get(route.name, 0)
        if not limit.should_admit(rank=rank, is_retry=is_retry, rng=self.rng):
            return None
        limit.enter()
        return AdmissionPermit(limit=limit, route=route, log=self.log)

    def limit_for(self, route: Route) -> AdaptiveLimit | None:
        """Return the limit that applies to a route; None before its first request."""
        services = self._services.get(route.name, frozenset(route.services))
        return self._limits.get(services)

    def rank_of(self, route: Route) -> int:
        """Return the rank of a route; see `AdaptiveLimit`."""
        return self._ranks.get(route.name, 0)

    def _apply_table(self, table: RouteTable) -> None:
        """Rank the routes of each set of services, and drop sets without a route."""
        self._version = table.version
        self._services = {
            route.name: frozenset(route.services) for route in table.routes
        }
        priorities: dict[ServiceSet, set[int]] = {}
        for route in table.routes:
            services = self._services[route.name]
            priorities.setdefault(services, set()).add(route.priority)
        self._ranks = {
            route.name: sorted(priorities[self._services[route.name]]).index(
                route.priority
            )
            for route in table.routes
        }
        for services in self._limits.keys() - priorities.keys():
            if not self._limits[services].in_flight:
                del self._limits[services]
