"""Distribution of a route's requests over services by weight."""

from copy import copy

from attrs import define, field

from bronzebeam.routing.routes import WeightedService


@define(kw_only=True, eq=False, repr=False)
class WeightedSplit:
    """
    Smooth weighted round-robin over the services of one route.

    Any sequence of requests is split by weight to within one request, so even a short
    sample from a single instance has the right shares.
    """

    destinations: tuple[WeightedService, ...]
    _credits: list[float] = field(init=False)
    _total_weight: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._credits = [0.0] * len(self.destinations)
        self._total_weight = sum(item.weight for item in self.destinations)

    def peek(self) -> str:
        """Return what `next_service` would, without a change of the order."""
        other = copy(self)
        other._credits = list(self._credits)
        return other.next_service()

    def next_service(self) -> str:
        """Return the service of the next request."""
        if len(self.destinations) == 1:
            return self.destinations[0].service
        chosen = 0
        for index, item in enumerate(self.destinations):
            self._credits[index] += item.weight
            if self._credits[index] > self._credits[chosen]:
                chosen = index
        self._credits[chosen] -= self._total_weight
        return self.destinations[chosen].service
