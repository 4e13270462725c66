"""Tail latency with and without hedging, and the load that hedging adds."""

from typing import Final

import anyio
from attrs import frozen

from bronzebeam.bench.documents import SEARCH_SERVICE, rig_document
from bronzebeam.bench.figures import Figure
from bronzebeam.bench.load import CallerResponse, percentile
from bronzebeam.bench.rig import Rig, RigSpec, running_rig
from bronzebeam.bench.searches import run_searches

SHARDS: Final = 20
RATE_PER_SECOND: Final = 50.0
WARM_UP_SECONDS: Final = 1.5
LOAD_SECONDS: Final = 4.0
DEADLINE_MS: Final = 2_000
MAX_P99_RATIO: Final = 0.35
MAX_EXTRA_LOAD: Final = 0.05


@frozen(kw_only=True)
class _Measurement:
    p50_ms: float
    p99_ms: float
    extra_load_share: float


async def run() -> list[Figure]:
    """Compare p99 latencies while 3% of replies are 20 times slower."""
    unhedged = await _measure(("--no-hedging",))
    hedged = await _measure(())
    return [
        Figure(name="hedge_p50_plain", value=unhedged.p50_ms, unit="ms"),
        Figure(name="hedge_p50", value=hedged.p50_ms, unit="ms"),
        Figure(name="hedge_p99_plain", value=unhedged.p99_ms, unit="ms"),
        Figure(name="hedge_p99", value=hedged.p99_ms, unit="ms"),
        Figure(
            name="hedge_p99_ratio",
            value=hedged.p99_ms / unhedged.p99_ms,
            unit="ratio",
            bound=MAX_P99_RATIO,
        ),
        Figure(
            name="hedge_extra_load",
            value=hedged.extra_load_share,
            unit="share",
            bound=MAX_EXTRA_LOAD,
        ),
    ]


async def _measure(entry_arguments: tuple[str, ...]) -> _Measurement:
    spec = RigSpec(
        document=rig_document(shard_count=SHARDS),
        entry_count=2,
        backend_process_count=4,
        backend_arguments=("--service-ms", "5", "--slow-share", "0.03"),
        entry_arguments=entry_arguments,
    )
    async with running_rig(spec) as rig:
        await anyio.sleep(0.5)
        warm_up_answers = await _run_load(rig, WARM_UP_SECONDS)
        answers = await _run_load(rig, LOAD_SECONDS)
        answered = len(warm_up_answers) + len(answers)
        reports = await rig.fetch_backend_reports()
    runs = sum(
        len(report["runs"])
        for name, report in reports.items()
        if SEARCH_SERVICE in name
    )
    latencies = [answer.latency_ms for answer in answers]
    return _Measurement(
        p50_ms=percentile(latencies, 0.5),
        p99_ms=percentile(latencies, 0.99),
        extra_load_share=runs / (answered * SHARDS) - 1,
    )


async def _run_load(rig: Rig, seconds: float) -> list[CallerResponse]:
    return await run_searches(
        rig,
        rate_per_second=RATE_PER_SECOND,
        seconds=seconds,
        deadline_ms=DEADLINE_MS,
    )
