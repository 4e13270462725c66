"""Reports requests that seem to crash replicas to the other instances."""

import asyncio
import random
from collections import OrderedDict
from typing import Final

from attrs import define, field

from bronzebeam.gateway.backoff import Backoff
from bronzebeam.gateway.records import GatewayStore, StoreUnavailable, SuspectRecord
from bronzebeam.gateway.routed import RoutedRequest
from bronzebeam.routing.crash_suspects import CrashEvidence, CrashSuspects
from bronzebeam.telemetry.decisions import DecisionLog

QUARANTINE_SECONDS: Final = 600.0  # the store's longest lease; replicas are mended then
INTERVAL_SECONDS: Final = 0.5  # losses come in bursts; the bound on reports is seconds
PENDING_MAX: Final = 256  # requests in flight when many replicas crash at once


@define(kw_only=True, eq=False, repr=False)
class SuspectReporter:
    """
    Keeps the suspects of this instance, and writes them to the store.

    :ivar suspects: what is known of all instances' suspects.
    """

    instance: str
    suspects: CrashSuspects
    log: DecisionLog
    rng: random.Random
    _pending: OrderedDict[str, int] = field(factory=OrderedDict)
    _wake: asyncio.Event = field(factory=asyncio.Event)

    def record_losses(self, evidence: CrashEvidence, routed: RoutedRequest) -> None:
        """Take in the replicas lost to a request that has ended."""
        if not evidence.losses:
            return
        suspect = routed.fingerprint
        self._pending[suspect] = self.suspects.record_losses(
            suspect, instance=self.instance, losses=evidence.losses
        )
        quarantined = self.suspects.is_quarantined(suspect)
        self.log.event(
            "request_quarantined" if quarantined else "request_suspected",
            request=routed.metadata.attempt_id.decode("latin-1"),
            route=routed.route.name,
            suspect=suspect,
            losses=evidence.losses,
            losses_of_all=self.suspects.losses(suspect),
        )
        if len(self._pending) > PENDING_MAX:
            dropped, _ = self._pending.popitem(last=False)
            self.log.event("suspect_not_reported", suspect=dropped, cause="too_many")
        self._wake.set()

    async def run(self, store: GatewayStore) -> None:
        """Write new suspects to the store until cancelled."""
        backoff = Backoff(rng=self.rng)
        while True:
            await self._wake.wait()
            self._wake.clear()
            pending, self._pending = self._pending, OrderedDict()
            records = [
                SuspectRecord(suspect=suspect, instance=self.instance, losses=losses)
                for suspect, losses in pending.items()
            ]
            try:
                await store.report(records=records, ttl_seconds=QUARANTINE_SECONDS)
                backoff.reset()
                self.log.event("suspects_reported", count=len(records))
                await asyncio.sleep(INTERVAL_SECONDS)
            except StoreUnavailable as error:
                self.log.event("suspects_not_reported", cause=str(error))
                # What was noted meanwhile is newer.
                self._pending = OrderedDict({**pending, **self._pending})
                self._wake.set()
                await asyncio.sleep(backoff.next_seconds())
