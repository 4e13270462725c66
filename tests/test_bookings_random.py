"""Random histories of bookings under faults, checked for double runs."""

from itertools import cycle

import anyio
from attrs import frozen
from hypothesis import HealthCheck, given, settings, strategies as st

from bronzebeam.outcomes import NotRun
from bronzebeam.routing.claims import ClaimDecision, ClaimGranted
from tests.fixtures_booking_history import HistoryViolation
from tests.fixtures_bookings import (
    Fleet,
    caller_key,
    open_fleet,
    run_virtual,
)

KEYS = tuple(caller_key(number) for number in range(3))
SETTLE_SECONDS = 30
SUSPENDED_SECONDS = 9 * 3600


@frozen(kw_only=True)
class Step:
    """One step of a plan, `wait_ms` after the previous one."""

    action: str
    wait_ms: int
    entry: int
    key: int
    payload: str
    timeout_ms: int


STEPS = st.builds(
    Step,
    action=st.sampled_from(
        ["book"] * 7
        + ["cancel", "owned", "kill", "add", "outage", "mend", "pause", "suspend"]
    ),
    wait_ms=st.sampled_from([0, 1, 3, 5, 10, 30, 200, 2000]),
    entry=st.integers(0, 2),
    key=st.integers(0, 2),
    payload=st.sampled_from(["chair", "chair", "chair", "ramp"]),
    timeout_ms=st.sampled_from([5, 20, 100, 1000]),
)
FAULTS = st.lists(
    st.sampled_from(["", "", "", "down", "lost", "late", "slow", "held"]),
    min_size=1,
    max_size=20,
)
BEHAVIOURS = st.lists(
    st.sampled_from(["answer", "answer", "lose", "refuse", "stall"]),
    min_size=1,
    max_size=6,
)


class Plan:
    """Applies steps to a fleet and collects the owner-bound keys it receives."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.owned_keys: list[str] = []

    async def apply(self, step: Step) -> None:
        """Apply one step; bookings run in the background."""
        entry = self.fleet.entries[step.entry % len(self.fleet.entries)]
        tasks = self.fleet.tasks
        if step.action == "book":
            tasks.start_soon(self.book, step, KEYS[step.key], None)
        if step.action == "cancel":
            tasks.start_soon(self.book, step, KEYS[step.key], step.timeout_ms / 1000)
        if step.action == "owned":
            minted = entry.owned_keys.mint()
            self.owned_keys += [minted] if minted else []
            for key in self.owned_keys:
                tasks.start_soon(self.book, step, key, None)
        if step.action == "kill":
            entry.kill()
        if step.action == "add":
            self.fleet.add_entry()
        if step.action in ("outage", "mend"):
            self.fleet.store.down = step.action == "outage"
        if step.action == "pause":
            await anyio.sleep(5)
        if step.action == "suspend":
            self.fleet.clock.suspended_seconds += SUSPENDED_SECONDS

    async def book(self, step: Step, key: str, cancel_seconds: float | None) -> None:
        """Send a booking and keep an offered key, as a caller would."""
        entry = self.fleet.entries[step.entry % len(self.fleet.entries)]
        with anyio.CancelScope() as scope:
            if cancel_seconds is not None:
                scope.deadline = anyio.current_time() + cancel_seconds
            attempt = await entry.book(
                key, payload=step.payload, timeout_seconds=step.timeout_ms / 1000
            )
            if isinstance(attempt.outcome, NotRun):
                offered = attempt.outcome.extra.get("offered_key")
                self.owned_keys += [offered] if offered else []


async def run_plan(
    steps: list[Step], faults: list[str], behaviours: list[str], *, inject_fault: bool
) -> None:
    """Run a plan, then resend every key without faults; the history is checked."""
    next_fault, next_behaviour = cycle(faults), cycle(behaviours)
    async with open_fleet(entries=2) as fleet:
        fleet.store.next_fault = lambda: next(next_fault)
        fleet.backend.next_behaviour = lambda: next(next_behaviour)
        plan = Plan(fleet)
        if inject_fault:
            for entry in fleet.entries:
                entry.claims.claim = grant_always  # type: ignore[method-assign]
        for step in steps:
            await anyio.sleep(step.wait_ms / 1000)
            await plan.apply(step)
        fleet.store.down = False
        fleet.store.next_fault = lambda: ""
        await anyio.sleep(SETTLE_SECONDS)
        for entry in fleet.entries:
            assert not entry.alive or entry.claims.pending_count == 0
        last = fleet.add_entry()
        for key in (*KEYS, *plan.owned_keys):
            await last.book(key)


async def grant_always(**_: object) -> ClaimDecision:
    """Grant the claim to every attempt, in place of `ClaimsController.claim`."""
    return ClaimGranted()


@settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=400,
    suppress_health_check=list(HealthCheck),
)
@given(
    steps=st.lists(STEPS, min_size=2, max_size=30),
    faults=FAULTS,
    behaviours=BEHAVIOURS,
    seed=st.integers(0, 1000),
)
def test_random_histories_have_no_violations(
    steps: list[Step], faults: list[str], behaviours: list[str], seed: int
) -> None:
    run_virtual(
        lambda: run_plan(steps, faults, behaviours, inject_fault=False), seed=seed
    )


def test_random_plan_detects_an_injected_double_run() -> None:
    resend = Step(
        action="book", wait_ms=30, entry=0, key=0, payload="chair", timeout_ms=1000
    )
    try:
        run_virtual(lambda: run_plan([resend] * 2, [""], ["answer"], inject_fault=True))
    except BaseExceptionGroup as group:
        assert group.subgroup(HistoryViolation) is not None
    else:
        raise AssertionError("the double run was not detected")
