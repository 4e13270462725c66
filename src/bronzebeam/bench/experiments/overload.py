"""Goodput at twice the capacity, with and without admission control."""

import random
from typing import Final

import anyio
from attrs import frozen

from bronzebeam.bench.documents import SEARCH_PATH, rig_document
from bronzebeam.bench.figures import BoundKind, Figure
from bronzebeam.bench.load import Caller, CallerResponse, OpenLoop
from bronzebeam.bench.rig import Rig, RigSpec, running_rig

SHARDS: Final = 4
SLOTS: Final = 2
REPLICAS: Final = 2
SERVICE_MS: Final = 40.0
CAPACITY_PER_SECOND: Final = SLOTS * REPLICAS * 1000 / SERVICE_MS
LOAD_SECONDS: Final = 3.0
DEADLINE_MS: Final = 300
CHECK_IN_SHARE: Final = 0.3
MIN_GOODPUT_RATIO: Final = 0.90


@frozen(kw_only=True)
class _Goodput:
    """
    Goodput of one run.

    :ivar per_second: rate of complete answers within the deadline.
    :ivar check_in_share: share of the check-in requests that got such an answer.
    """

    per_second: float
    check_in_share: float


async def run() -> list[Figure]:
    """Measure goodput at capacity and at twice the capacity."""
    async with running_rig(_spec(())) as rig:
        at_capacity = await _measure(rig, CAPACITY_PER_SECOND)
        at_double = await _measure(rig, 2 * CAPACITY_PER_SECOND)
    async with running_rig(_spec(("--no-admission",))) as rig:
        without_admission = await _measure(rig, 2 * CAPACITY_PER_SECOND)
    return [
        Figure(name="goodput_at_capacity", value=at_capacity.per_second, unit="1/s"),
        Figure(name="goodput_at_double", value=at_double.per_second, unit="1/s"),
        Figure(
            name="goodput_at_double_plain",
            value=without_admission.per_second,
            unit="1/s",
        ),
        Figure(name="check_in_share", value=at_double.check_in_share, unit="share"),
        Figure(
            name="check_in_share_plain",
            value=without_admission.check_in_share,
            unit="share",
        ),
        Figure(
            name="overload_goodput_ratio",
            value=at_double.per_second / at_capacity.per_second,
            unit="ratio",
            bound=MIN_GOODPUT_RATIO,
            bound_kind=BoundKind.AT_LEAST,
        ),
    ]


def _spec(entry_arguments: tuple[str, ...]) -> RigSpec:
    return RigSpec(
        document=rig_document(shard_count=SHARDS, slot_count=SLOTS),
        entry_count=2,
        backend_process_count=2,
        backend_arguments=("--service-ms", str(SERVICE_MS)),
        entry_arguments=entry_arguments,
    )


async def _measure(rig: Rig, rate_per_second: float) -> _Goodput:
    caller = Caller(addresses=lambda: [entry.caller_address for entry in rig.entries])
    rng = random.Random(1)
    check_ins: set[int] = set()

    async def send(number: int, due: float) -> CallerResponse:
        is_check_in = rng.random() < CHECK_IN_SHARE
        answer = await caller.post(
            SEARCH_PATH,
            {"q": number},
            deadline_ms=DEADLINE_MS,
            class_name="check-in" if is_check_in else "planner",
            due_seconds=due,
        )
        if is_check_in:
            check_ins.add(id(answer))
        return answer

    await anyio.sleep(1.0)
    load = OpenLoop(
        rate_per_second=rate_per_second,
        duration_seconds=LOAD_SECONDS,
        send_request=send,
    )
    answers = await load.run()
    in_time = [
        item for item in answers if item.is_complete and item.latency_ms < DEADLINE_MS
    ]
    check_ins_in_time = sum(id(item) in check_ins for item in in_time)
    return _Goodput(
        per_second=len(in_time) / LOAD_SECONDS,
        check_in_share=check_ins_in_time / max(1, len(check_ins)),
    )
