"""Eras of the platform's store, which end when it returns from an older copy."""

import asyncio

from attrs import define, field

from bronzebeam.telemetry.decisions import DecisionLog


@define(kw_only=True, eq=False, repr=False)
class StoreEra:
    """
    The era of the store that this instance has seen last.

    The store may come back from a copy that is some seconds old. What was written since
    the copy is lost, and revisions and lease numbers are given out again. Its era
    rises each time.

    :ivar number: latest era; None until the store has stated one.
    """

    log: DecisionLog
    number: int | None = None
    _waiters: set["asyncio.Future[None]"] = field(factory=set)

    def observe(self, number: int) -> bool:
        """Record the era of a response; return whether it is the latest one."""
        if self.number is not None and number < self.number:
            return False
        if number == self.number:
            return True
        earlier, self.number = self.number, number
        if earlier is not None:
            self.log.event("store_restored", era=number, earlier_era=earlier)
            waiters, self._waiters = self._waiters, set()
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)
        return True

    async def wait_for_change(self, number: int | None) -> None:
        """
        Wait until the era differs from `number`.

        A first era does not count as a change, since nothing was lost before it.
        """
        if number is not None and self.number != number:
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await waiter
        finally:
            self._waiters.discard(waiter)
