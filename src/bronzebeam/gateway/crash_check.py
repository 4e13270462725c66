"""Finds out whether a replica that has closed a connection has crashed."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from attrs import define, field

from bronzebeam.gateway.connection_pool import ConnectionPool

# All connections of a process that ends are closed at the same time.
SETTLE_SECONDS: Final = 0.05
# A replica that has crashed refuses connections for seconds.
CHECK_SECONDS: Final = 0.5
POLL_SECONDS: Final = 0.02
MAX_LOST_REPLICAS: Final = 1_024  # that are remembered for peers; bounds the memory


async def has_crashed(pool: ConnectionPool) -> bool:
    """
    Whether a replica has crashed that has closed a connection just now.

    Answers are lost on the way, too. Without a check, a popular request would count as
    the crash of each replica that it lost an answer of, and would soon be refused. A
    replica lives if another connection to it is still open, or if it accepts a new one.
    """
    loop = pool.loop
    lost_at_seconds = loop.time()
    await asyncio.sleep(SETTLE_SECONDS)
    while loop.time() < lost_at_seconds + CHECK_SECONDS:
        if pool.open_connections or pool.opened_at_seconds > lost_at_seconds:
            return False
        if pool.failed_at_seconds > lost_at_seconds:
            return True
        if not pool.is_opening:
            pool.open()
        await asyncio.sleep(POLL_SECONDS)
    return True


async def count_survivor(pool: ConnectionPool) -> int:
    """Return 1 if the replica lives on that has closed a connection, else 0."""
    return int(not await has_crashed(pool))


@define(kw_only=True, eq=False, repr=False)
class LostReplicas:
    """
    Replicas that were lost while they ran requests of peers.

    The peer counts the crashes, but only this instance can check them.

    :ivar _checks: the checks by the attempt id of the request and the service.
    """

    _checks: OrderedDict[tuple[bytes, str], list[asyncio.Task[int]]] = field(
        factory=OrderedDict
    )

    def add(self, request: bytes, service: str, check: asyncio.Task[int]) -> None:
        """Remember the check of a replica that was lost during a request."""
        self._checks.setdefault((request, service), []).append(check)
        if len(self._checks) > MAX_LOST_REPLICAS:
            self._checks.popitem(last=False)

    async def survived(self, request: bytes, services: Iterable[str]) -> list[str]:
        """Return the services whose lost replicas are known to live on."""
        survived = []
        for service in services:
            checks = self._checks.get((request, service), ())
            if checks and all(await asyncio.gather(*checks)):
                survived.append(service)
        return survived
