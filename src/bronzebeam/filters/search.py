"""The end of the chain for searches: one run over one snapshot, restarted whole."""

from typing import Any, Final

import anyio
from attrs import define, evolve

from bronzebeam.filters.chain import CallerRequest
from bronzebeam.filters.dispatch import Dispatcher
from bronzebeam.filters.search_run import SearchRun
from bronzebeam.filters.search_shards import SearchResult
from bronzebeam.outcomes import Answered, Coverage, NotRun, Outcome, Partial, Refused
from bronzebeam.reasons import Reason
from bronzebeam.routing.coverage import required_shards
from bronzebeam.routing.snapshots import Snapshot

RESTART_LEAST_SECONDS: Final = 0.02
RESTARTS_MOST: Final = 3
NEWS_SECONDS: Final = 0.05
NEWS_STEP_SECONDS: Final = 0.002
RETRY_AFTER_MS: Final = 1_000


@define(kw_only=True)
class SearchHandler:
    """Answers a search from one snapshot."""

    dispatcher: Dispatcher

    async def handle(self, request: CallerRequest) -> Outcome:
        """
        Answer `request`, restarting at a newer snapshot if its own vanishes.

        A restart drops every reply of the earlier run, so that no answer mixes
        index versions.
        """
        snapshot = self.dispatcher.directory.snapshot(request.service.name)
        if snapshot is None:
            return _no_replica()
        best = result = await self._run(request, snapshot)
        for _ in range(RESTARTS_MOST):
            newer = await self._newer(request, result)
            if newer is None:
                break
            result = await self._run(request, newer)
            best = _better(result, best)
        return self._outcome(request, best)

    async def _run(self, request: CallerRequest, snapshot: Snapshot) -> SearchResult:
        run = SearchRun(request=request, snapshot=snapshot, dispatcher=self.dispatcher)
        return await run.run()

    async def _newer(
        self, request: CallerRequest, result: SearchResult
    ) -> Snapshot | None:
        """Wait a little for a snapshot that covers more than `result` does."""
        if not result.version_gone or result.coverage.complete:
            return None
        now = self.dispatcher.clock.monotonic_seconds()
        latest = request.deadline_at_seconds - RESTART_LEAST_SECONDS
        wait_until = min(now + NEWS_SECONDS, latest)
        while True:
            newer = self.dispatcher.directory.snapshot(request.service.name)
            now = self.dispatcher.clock.monotonic_seconds()
            if newer is None or now > latest:
                return None
            pays = _pays(newer, result)
            if pays and (newer.complete or now >= wait_until):
                return newer
            if now >= wait_until:
                return None
            await anyio.sleep(NEWS_STEP_SECONDS)

    def _outcome(self, request: CallerRequest, result: SearchResult) -> Outcome:
        coverage = result.coverage
        now = self.dispatcher.clock.monotonic_seconds()
        remaining_ms = self.dispatcher.quarantine.remaining_quarantine_ms(
            request.fingerprint, now
        )
        if remaining_ms is not None and not coverage.complete:
            return Refused(
                reason=Reason.QUARANTINED,
                retry_after_ms=remaining_ms,
                detail="backend servers were lost while they ran this request",
                ran=True,
                coverage=coverage,
            )
        if coverage.complete:
            return Answered(result=_merge(request, result), coverage=coverage)
        required = required_shards(request.service.coverage, coverage.shard_count)
        if len(coverage.included) >= required:
            return Partial(result=_merge(request, result), coverage=coverage)
        reasons = {missing.reason for missing in coverage.missing}
        if result.sent or Reason.BELOW_MINIMUM_COVERAGE in reasons:
            return _below_minimum(result)
        return _not_sent(coverage)


def _pays(newer: Snapshot, result: SearchResult) -> bool:
    coverage = result.coverage
    if newer.index_version == coverage.index_version:
        return False
    included = len(coverage.included)
    return newer.covered * coverage.shard_count > included * newer.shard_count


def _better(later: SearchResult, earlier: SearchResult) -> SearchResult:
    """Return the run of larger coverage, the later of equals."""
    sent = later.sent or earlier.sent
    best = later if _share(later) >= _share(earlier) else earlier
    return evolve(best, sent=sent)


def _share(result: SearchResult) -> float:
    return len(result.coverage.included) / result.coverage.shard_count


def _below_minimum(result: SearchResult) -> Outcome:
    coverage = result.coverage
    return Refused(
        reason=Reason.BELOW_MINIMUM_COVERAGE,
        retry_after_ms=RETRY_AFTER_MS,
        detail=f"{len(coverage.included)} of {coverage.shard_count} shards came",
        ran=result.sent,
        coverage=coverage,
    )


def _merge(request: CallerRequest, result: SearchResult) -> list[Any]:
    """Merge the shards' hits, the highest score first, cut to the query's limit."""
    hits = [hit for shard_hits in result.hits for hit in shard_hits]
    hits.sort(key=_score, reverse=True)
    limit = request.payload.get("limit") if isinstance(request.payload, dict) else None
    return hits[:limit] if isinstance(limit, int) and limit >= 0 else hits


def _score(hit: Any) -> float:
    score = hit.get("score", 0.0) if isinstance(hit, dict) else 0.0
    return float(score) if isinstance(score, (int, float)) else 0.0


def _no_replica() -> Outcome:
    return NotRun(
        reason=Reason.NO_REPLICA,
        retry_after_ms=RETRY_AFTER_MS,
        detail="no replica of the service holds an index version",
    )


def _not_sent(coverage: Coverage) -> Outcome:
    reasons = sorted({missing.reason for missing in coverage.missing})
    return NotRun(
        reason=Reason(reasons[0]),
        retry_after_ms=RETRY_AFTER_MS,
        detail="no backend server was sent the request",
    )
