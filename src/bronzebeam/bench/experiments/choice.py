"""Latency with one slow replica per shard, compared with random choice of replicas."""

from typing import Final

import anyio
from attrs import frozen

from bronzebeam.bench.documents import SEARCH_SERVICE, rig_document
from bronzebeam.bench.figures import Figure
from bronzebeam.bench.load import percentile
from bronzebeam.bench.rig import RigSpec, running_rig
from bronzebeam.bench.searches import run_searches

SHARDS: Final = 6
RATE_PER_SECOND: Final = 50.0
WARM_UP_SECONDS: Final = 1.0
LOAD_SECONDS: Final = 2.5
DEADLINE_MS: Final = 2_000
SERVICE_MS: Final = 5.0
SLOW_SERVICE_MS: Final = 25.0


@frozen(kw_only=True)
class _Latencies:
    p50_ms: float
    p99_ms: float


async def run() -> list[Figure]:
    """Compare latencies without hedging, which would hide the effect of the choice."""
    chosen = await _measure(())
    at_random = await _measure(("--random-choice",))
    return [
        Figure(name="choice_p50", value=chosen.p50_ms, unit="ms"),
        Figure(name="choice_p50_random", value=at_random.p50_ms, unit="ms"),
        Figure(name="choice_p99", value=chosen.p99_ms, unit="ms"),
        Figure(name="choice_p99_random", value=at_random.p99_ms, unit="ms"),
        Figure(
            name="choice_p50_ratio",
            value=chosen.p50_ms / at_random.p50_ms,
            unit="ratio",
        ),
    ]


async def _measure(entry_arguments: tuple[str, ...]) -> _Latencies:
    spec = RigSpec(
        document=rig_document(shard_count=SHARDS),
        entry_count=2,
        backend_process_count=2,
        backend_arguments=("--service-ms", str(SERVICE_MS)),
        entry_arguments=("--no-hedging", *entry_arguments),
    )
    async with running_rig(spec) as rig:
        for shard in range(SHARDS):
            await rig.set_faults(
                f"{SEARCH_SERVICE}-{shard:02d}-r0", service_ms=SLOW_SERVICE_MS
            )
        await anyio.sleep(0.3)
        for seconds in (WARM_UP_SECONDS, LOAD_SECONDS):
            answers = await run_searches(
                rig,
                rate_per_second=RATE_PER_SECOND,
                seconds=seconds,
                deadline_ms=DEADLINE_MS,
            )
    latencies = [answer.latency_ms for answer in answers]
    return _Latencies(
        p50_ms=percentile(latencies, 0.5), p99_ms=percentile(latencies, 0.99)
    )
