"""Groups of routes that compete for the replicas of the same services."""

from attrs import frozen

from bronzebeam.routing.routes import Route, RouteTable

Urgency = tuple[int, int]


@frozen(kw_only=True)
class RouteGroup:
    """
    Routes of which each shares a service with another one.

    :ivar urgencies: possible priorities of an account and a route, most urgent first.
    """

    routes: frozenset[str]
    services: frozenset[str]
    urgencies: tuple[Urgency, ...]


def group_routes(table: RouteTable) -> list[RouteGroup]:
    """Divide the routes into groups that share no service with each other."""
    groups: list[tuple[set[str], list[Route]]] = []
    for route in table.routes:
        services = set(route.services)
        routes = [route]
        separate = []
        for other in groups:
            if services & other[0]:
                services |= other[0]
                routes += other[1]
            else:
                separate.append(other)
        groups = [*separate, (services, routes)]
    account_priorities = {item.priority for item in table.accounts}
    return [
        RouteGroup(
            routes=frozenset(route.name for route in routes),
            services=frozenset(services),
            urgencies=_urgencies(routes, account_priorities),
        )
        for services, routes in groups
    ]


def urgency_of(route: Route, account_priority: int | None) -> Urgency:
    """Return the urgency of a request; that of the account decides first."""
    if account_priority is None:
        return route.priority, route.priority
    return account_priority, route.priority


def _urgencies(
    routes: list[Route], account_priorities: set[int | None]
) -> tuple[Urgency, ...]:
    # Requests on public routes may have no account.
    priorities = account_priorities | {None}
    return tuple(
        sorted({urgency_of(route, item) for route in routes for item in priorities})
    )
