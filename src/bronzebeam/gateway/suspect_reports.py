"""Reports requests that seem to crash replicas to the other instances."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import Final

from attrs import define, field

from bronzebeam.gateway.backoff import Backoff
from bronzebeam.gateway.records import GatewayStore, StoreUnavailable, SuspectRecord
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.routing.crash_suspects import (
    MAX_SUSPECTS,
    QUARANTINE_SECONDS,
    CrashEvidence,
    CrashSuspects,
)
from bronzebeam.telemetry.decisions import DecisionLog

# Crashes come in bursts, and reports may take seconds to reach other instances.
REPORT_INTERVAL_SECONDS: Final = 0.5
MAX_PENDING_REPORTS: Final = 256  # requests in flight when many replicas crash at once


@define(kw_only=True, eq=False, repr=False)
class SuspectReporter:
    """
    Collects the suspect requests of this instance and writes them to the store.

    :ivar suspects: suspects reported by all instances.
    :ivar _reported: losses in each written report, and the monotonic time at which it
        expires.
    """

    instance: str
    suspects: CrashSuspects
    log: DecisionLog
    rng: random.Random
    _pending: OrderedDict[str, int] = field(factory=OrderedDict)
    _reported: OrderedDict[str, tuple[int, float]] = field(factory=OrderedDict)
    _has_pending: asyncio.Event = field(factory=asyncio.Event)
    _checking: set["asyncio.Task[None]"] = field(factory=set)

    def record_losses(
        self,
        evidence: CrashEvidence,
        routed: RoutedRequest,
        checks: Sequence["asyncio.Task[int]"],
    ) -> None:
        """
        Record the replicas lost while they ran a request that is now complete.

        :param checks: count the replicas that live on; these are not recorded.
        """
        if not evidence.losses:
            return
        task = asyncio.get_running_loop().create_task(
            self._record_checked(evidence, routed, checks)
        )
        self._checking.add(task)
        task.add_done_callback(self._checking.discard)

    async def _record_checked(
        self,
        evidence: CrashEvidence,
        routed: RoutedRequest,
        checks: Sequence["asyncio.Task[int]"],
    ) -> None:
        survived = sum(await asyncio.gather(*checks))
        if survived:
            self.log.event(
                "replicas_survived",
                request=routed.metadata.attempt_id.decode("latin-1"),
                route=routed.route.name,
                suspect=routed.fingerprint,
                losses=evidence.lost,
                survived=survived,
            )
        crashed = evidence.losses_without(survived)
        if crashed:
            self._record(crashed, routed)

    def _record(self, losses: int, routed: RoutedRequest) -> None:
        suspect = routed.fingerprint
        self._pending[suspect] = self.suspects.record_losses(
            suspect, instance=self.instance, losses=losses
        )
        quarantined = self.suspects.is_quarantined(suspect)
        self.log.event(
            "request_quarantined" if quarantined else "request_suspected",
            request=routed.metadata.attempt_id.decode("latin-1"),
            route=routed.route.name,
            suspect=suspect,
            losses=losses,
            losses_of_all=self.suspects.losses(suspect),
        )
        if len(self._pending) > MAX_PENDING_REPORTS:
            dropped, _ = self._pending.popitem(last=False)
            self.log.event("suspect_not_reported", suspect=dropped, cause="too_many")
        self._has_pending.set()

    async def run(self, store: GatewayStore) -> None:
        """Write new suspects to the store until cancelled."""
        backoff = Backoff(rng=self.rng)
        while True:
            await self._has_pending.wait()
            self._has_pending.clear()
            pending, self._pending = self._pending, OrderedDict()
            records = [
                SuspectRecord(suspect=suspect, instance=self.instance, losses=losses)
                for suspect, losses in pending.items()
            ]
            try:
                await store.report_suspects(
                    records=records, ttl_seconds=QUARANTINE_SECONDS
                )
                backoff.reset()
                self._remember_reports(pending)
                self.log.event("suspects_reported", count=len(records))
                await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            except StoreUnavailable as error:
                self.log.event("suspects_not_reported", cause=str(error))
                # Losses recorded in the meantime are newer and take precedence.
                self._pending = OrderedDict({**pending, **self._pending})
                self._has_pending.set()
                await asyncio.sleep(backoff.next_seconds())

    async def repeat_after_restorations(self, store: GatewayStore) -> None:
        """Write the reports again when the store has come back from an older copy."""
        loop = asyncio.get_running_loop()
        while True:
            await store.era.wait_for_change(store.era.number)
            for suspect, (losses, expires_at) in self._reported.items():
                if loop.time() < expires_at:
                    self._pending.setdefault(suspect, losses)
            if self._pending:
                self._has_pending.set()

    def _remember_reports(self, losses_by_suspect: Mapping[str, int]) -> None:
        expires_at = asyncio.get_running_loop().time() + QUARANTINE_SECONDS
        for suspect, losses in losses_by_suspect.items():
            self._reported[suspect] = losses, expires_at
            self._reported.move_to_end(suspect)
        while len(self._reported) > MAX_SUSPECTS:
            self._reported.popitem(last=False)
