"""Search handler: runs each search on one index snapshot, restarting if it is gone."""

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

MIN_TIME_FOR_RESTART_SECONDS: Final = 0.02
MAX_RESTARTS: Final = 3
NEWER_SNAPSHOT_TIMEOUT_SECONDS: Final = 0.05
SNAPSHOT_POLL_INTERVAL_SECONDS: Final = 0.002
RETRY_AFTER_MS: Final = 1_000


@define(kw_only=True)
class SearchHandler:
    """Answers a search from a single index snapshot."""

    dispatcher: Dispatcher

    async def handle(self, request: CallerRequest) -> Outcome:
        """
        Answer `request`, restarting on a newer snapshot if the index version is gone.

        A restart discards all replies of the earlier run, so an answer never mixes
        index versions.
        """
        snapshot = self.dispatcher.directory.snapshot(request.service.name)
        if snapshot is None:
            return _no_replica_outcome()
        best = result = await self._run(request, snapshot)
        for _ in range(MAX_RESTARTS):
            newer = await self._wait_for_newer_snapshot(request, result)
            if newer is None:
                break
            result = await self._run(request, newer)
            best = _larger_coverage(result, best)
        return self._outcome(request, best)

    async def _run(self, request: CallerRequest, snapshot: Snapshot) -> SearchResult:
        run = SearchRun(request=request, snapshot=snapshot, dispatcher=self.dispatcher)
        return await run.run()

    async def _wait_for_newer_snapshot(
        self, request: CallerRequest, result: SearchResult
    ) -> Snapshot | None:
        """Wait briefly for a newer snapshot that covers more shards than `result`."""
        if not result.version_gone or result.coverage.complete:
            return None
        now = self.dispatcher.clock.monotonic_seconds()
        latest_restart_seconds = (
            request.deadline_at_seconds - MIN_TIME_FOR_RESTART_SECONDS
        )
        wait_until = min(now + NEWER_SNAPSHOT_TIMEOUT_SECONDS, latest_restart_seconds)
        while True:
            newer = self.dispatcher.directory.snapshot(request.service.name)
            now = self.dispatcher.clock.monotonic_seconds()
            if newer is None or now > latest_restart_seconds:
                return None
            covers_more = _covers_more(newer, result)
            if covers_more and (newer.complete or now >= wait_until):
                return newer
            if now >= wait_until:
                return None
            await anyio.sleep(SNAPSHOT_POLL_INTERVAL_SECONDS)

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
            return Answered(result=_merge_hits(request, result), coverage=coverage)
        required = required_shards(request.service.coverage, coverage.shard_count)
        if len(coverage.included) >= required:
            return Partial(result=_merge_hits(request, result), coverage=coverage)
        reasons = {missing.reason for missing in coverage.missing}
        if result.sent or Reason.BELOW_MINIMUM_COVERAGE in reasons:
            return _below_minimum_outcome(result)
        return _not_sent_outcome(coverage)


def _covers_more(newer: Snapshot, result: SearchResult) -> bool:
    coverage = result.coverage
    if newer.index_version == coverage.index_version:
        return False
    included = len(coverage.included)
    return newer.covered * coverage.shard_count > included * newer.shard_count


def _larger_coverage(later: SearchResult, earlier: SearchResult) -> SearchResult:
    """Return the result with the larger coverage, the later one if they are equal."""
    sent = later.sent or earlier.sent
    best = later if _included_share(later) >= _included_share(earlier) else earlier
    return evolve(best, sent=sent)


def _included_share(result: SearchResult) -> float:
    return len(result.coverage.included) / result.coverage.shard_count


def _below_minimum_outcome(result: SearchResult) -> Outcome:
    coverage = result.coverage
    return Refused(
        reason=Reason.BELOW_MINIMUM_COVERAGE,
        retry_after_ms=RETRY_AFTER_MS,
        detail=f"{len(coverage.included)} of {coverage.shard_count} shards came",
        ran=result.sent,
        coverage=coverage,
    )


def _merge_hits(request: CallerRequest, result: SearchResult) -> list[Any]:
    """Merge the hits of all shards by descending score, up to the query's limit."""
    hits = [hit for shard_hits in result.hits for hit in shard_hits]
    hits.sort(key=_score, reverse=True)
    limit = request.payload.get("limit") if isinstance(request.payload, dict) else None
    return hits[:limit] if isinstance(limit, int) and limit >= 0 else hits


def _score(hit: Any) -> float:
    score = hit.get("score", 0.0) if isinstance(hit, dict) else 0.0
    return float(score) if isinstance(score, (int, float)) else 0.0


def _no_replica_outcome() -> Outcome:
    return NotRun(
        reason=Reason.NO_REPLICA,
        retry_after_ms=RETRY_AFTER_MS,
        detail="no replica of the service holds an index version",
    )


def _not_sent_outcome(coverage: Coverage) -> Outcome:
    reasons = sorted({missing.reason for missing in coverage.missing})
    return NotRun(
        reason=Reason(reasons[0]),
        retry_after_ms=RETRY_AFTER_MS,
        detail="no backend server was sent the request",
    )
