"""Admission of requests while the replicas they need are overloaded."""

import random

from attrs import define, field

from bronzebeam.routing.overload import AdaptiveLimit
from bronzebeam.routing.routes import Route, RouteTable
from bronzebeam.telemetry.decisions import DecisionLog

ServiceSet = frozenset[str]


@define(kw_only=True, eq=False, repr=False)
class Ticket:
    """The place of one admitted request."""

    limit: AdaptiveLimit
    route: Route
    log: DecisionLog

    def leave(self, *, elapsed_ms: float | None, now_seconds: float) -> None:
        """
        Give the place back.

        :param elapsed_ms: time until the request could be answered, or its whole
            time if that never was; None if it says nothing of the load.
        """
        self.limit.leave()
        if elapsed_ms is None:
            return
        bounded = self.limit.is_reduced
        self.limit.observe(
            elapsed_ms=elapsed_ms,
            target_latency_ms=self.route.target_latency_ms,
            now_seconds=now_seconds,
        )
        if self.limit.is_reduced is not bounded:
            self.log.event(
                "overload_over" if bounded else "overload_found",
                route=self.route.name,
                limit=round(self.limit.limit, 1),
                in_flight=self.limit.in_flight,
                elapsed_ms=round(elapsed_ms, 1),
                target_ms=self.route.target_latency_ms,
            )


@define(kw_only=True, eq=False, repr=False)
class Admission:
    """Bounds on requests in flight, one for each set of services."""

    rng: random.Random
    log: DecisionLog
    _limits: dict[ServiceSet, AdaptiveLimit] = field(factory=dict)
    _ranks: dict[str, int] = field(factory=dict)
    _services: dict[str, ServiceSet] = field(factory=dict)
    _version: int = 0

    def enter(
        self, *, table: RouteTable, route: Route, returning: bool
    ) -> Ticket | None:
        """
        Admit a request, or return None if it has to be refused.

        :param returning: its caller was refused before.
        """
        if table.version != self._version:
            self._take_table(table)
        services = self._services[route.name]
        limit = self._limits.get(services)
        if limit is None:
            limit = self._limits[services] = AdaptiveLimit()
        rank = self._ranks.get(route.name, 0)
        if not limit.should_admit(rank=rank, is_retry=returning, rng=self.rng):
            return None
        limit.enter()
        return Ticket(limit=limit, route=route, log=self.log)

    def limit_of(self, route: Route) -> AdaptiveLimit | None:
        """Return the bound that a route's requests share, if there is one."""
        return self._limits.get(self._services[route.name])

    def _take_table(self, table: RouteTable) -> None:
        """Rank the routes to each set of services, and forget sets without a route."""
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
