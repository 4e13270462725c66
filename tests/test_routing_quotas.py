"""Tests of the decisions about quotas, with instances simulated without network."""

import random

from attrs import evolve, frozen
from hypothesis import given, settings, strategies as st

from bronzebeam.routing.accounts import Account
from bronzebeam.routing.rendezvous import rank_members
from bronzebeam.routing.token_bucket import TokenBucket
from tests.fixtures_quotas import TOLERANCE, SimFleet
from tests.fixtures_routing import HYPOTHESIS_SETTINGS

ACCOUNT = Account(name="shop", rate_per_second=20.0, burst_count=40.0)
NAMES = [f"g-{number}" for number in range(8)]
FLEET_SETTINGS = settings(HYPOTHESIS_SETTINGS, max_examples=60)


def make_fleet(
    *, instances: int, seed: int = 1, account: Account = ACCOUNT, follows: bool = False
) -> SimFleet:
    """Return a fleet that has run long enough for every account to have an owner."""
    fleet = SimFleet(account=account, tolerance=TOLERANCE, rng=random.Random(seed))
    for number in range(instances):
        fleet.start(f"g-{number}", follows=follows and number > 0)
    fleet.run_until(fleet.now + 20.0)
    return fleet


# The fleet as a whole.


@frozen(kw_only=True)
class Step:
    """A fault, `wait_seconds` after the previous one."""

    action: str
    wait_seconds: float
    instance: int
    seconds: float


STEPS = st.lists(
    st.builds(
        Step,
        action=st.sampled_from(
            ["pause", "cut_store", "cut_peers", "cut_both", "kill", "restart"]
            + ["stop", "add", "outage", "lose", "delay"]
        ),
        wait_seconds=st.sampled_from([0.0, 0.05, 0.5, 2.0, 5.0, 9.0, 16.0]),
        instance=st.integers(0, 7),
        seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0, 7.0, 14.0, 25.0]),
    ),
    max_size=12,
)


def apply(fleet: SimFleet, step: Step) -> None:
    """Start the fault of a step, and schedule its end."""
    name = NAMES[step.instance % len(fleet.instances)]
    instance = fleet.instances[name]
    end_at = fleet.now + step.seconds

    def end() -> None:
        instance.store_cut = instance.peers_cut = fleet.store_down = False
        fleet.loss_ratio, fleet.max_delay_seconds = 0.0, 0.002

    if step.action == "pause":
        instance.paused_until_seconds = max(instance.paused_until_seconds, end_at)
    elif step.action in ("cut_store", "cut_peers", "cut_both"):
        instance.store_cut = step.action != "cut_peers"
        instance.peers_cut = step.action != "cut_store"
    elif step.action == "kill":
        instance.is_killed = True
    elif step.action == "restart":
        fleet.start(name, follows=instance.follows)
    elif step.action == "stop":
        instance.stop()
    elif step.action == "add" and len(fleet.instances) < len(NAMES):
        fleet.start(NAMES[len(fleet.instances)])
    elif step.action == "outage":
        fleet.store_down = True
    elif step.action == "lose":
        fleet.loss_ratio = 0.4
    elif step.action == "delay":
        fleet.max_delay_seconds = 0.08
    fleet.schedule(end_at, end, None)


@FLEET_SETTINGS
@given(
    steps=STEPS,
    instances=st.integers(1, 6),
    account=st.sampled_from(
        [
            ACCOUNT,
            Account(name="books", rate_per_second=60.0, burst_count=10.0),
            Account(name="maps", rate_per_second=1.0, burst_count=3.0),
        ]
    ),
    follows=st.booleans(),
    callers=st.integers(1, 8),
    seed=st.integers(0, 1_000),
)
def test_no_window_exceeds_the_quota_and_its_tolerance(
    steps: list[Step],
    instances: int,
    account: Account,
    follows: bool,
    callers: int,
    seed: int,
) -> None:
    """Guards against tokens granted twice, after whatever faults."""
    fleet = make_fleet(instances=instances, seed=seed, account=account, follows=follows)
    seconds = sum(item.wait_seconds for item in steps) + 12.0
    per_second = 4.4 * account.rate_per_second + 10.0
    fleet.send_load(per_second=per_second, seconds=seconds, names=NAMES[-callers:])
    fleet.send_load(per_second=per_second, seconds=seconds)
    for step in steps:
        fleet.run_until(fleet.now + step.wait_seconds)
        apply(fleet, step)
    fleet.run_until(fleet.now + 12.0)
    assert fleet.most_in_window() <= fleet.allowed_in_window()
    assert max(fleet.waits, default=0.0) <= 0.06 + 1e-6
    assert len(fleet.admitted) + len(fleet.refused) <= fleet.request_count


@FLEET_SETTINGS
@given(
    instances=st.integers(1, 8),
    callers=st.integers(1, 8),
    burst=st.sampled_from([20.0, 40.0, 100.0]),
    max_delay_ms=st.sampled_from([1.0, 5.0, 10.0]),
    follows=st.booleans(),
    seed=st.integers(0, 1_000),
)
def test_caller_inside_its_quota_is_never_refused_by_a_healthy_fleet(
    instances: int,
    callers: int,
    burst: float,
    max_delay_ms: float,
    follows: bool,
    seed: int,
) -> None:
    """Guards against tokens that expire at one instance while another needs them."""
    account = evolve(ACCOUNT, burst_count=burst)
    fleet = make_fleet(instances=instances, seed=seed, account=account, follows=follows)
    fleet.max_delay_seconds = max_delay_ms / 1e3
    # Requests at random times, but no more at any time than a full bucket holds.
    reference = TokenBucket(updated_at_seconds=fleet.now)
    reference.level_count = burst
    at_seconds, names = fleet.now, NAMES[: min(callers, instances)]
    while at_seconds < fleet.now + 30.0:
        at_seconds += fleet.rng.expovariate(2.0 * account.rate_per_second)
        reference.advance(
            at_seconds,
            size_count=burst,
            rate_per_second=account.rate_per_second / 1.6,
        )
        if reference.take(1):
            instance = fleet.instances[fleet.rng.choice(names)]
            fleet.schedule(at_seconds, instance.request, instance)
    fleet.run_until(fleet.now + 31.0)
    assert fleet.request_count > 300
    assert not fleet.refused


def cut_off(fleet: SimFleet, names: list[str], part: int) -> None:
    """Cut instances off from the store and from all others but each other."""
    for name in names:
        fleet.instances[name].store_cut = True
        fleet.instances[name].part = part


def test_quota_holds_for_a_part_of_the_fleet_that_is_cut_off() -> None:
    """Guards against the former owner's part of the fleet having a quota of its own."""
    for seed in range(2):
        fleet = make_fleet(instances=8, seed=seed)
        order = list(rank_members(ACCOUNT.name, fleet.instances))
        cut, left = order[::2], order[1::2]
        fleet.run_until(fleet.now + 5.0)
        for names in (cut, left):
            fleet.send_load(per_second=200.0, seconds=40.0, names=names)
        fleet.run_until(fleet.now + 1.0)
        cut_off(fleet, cut, 1)
        fleet.run_until(fleet.now + 41.0)
        assert fleet.most_in_window() <= fleet.allowed_in_window()
        late = [name for at, _, name in fleet.admitted if at > fleet.now - 15.0]
        assert sum(name in left for name in late) >= 0.9 * 20 * 13
        assert any(name in cut for name in late)


def test_quota_holds_for_instances_cut_off_one_after_the_other() -> None:
    """Guards against each of several former owners granting as the first in rank."""
    for seed in range(3):
        fleet = make_fleet(instances=9, seed=seed)
        order = list(rank_members(ACCOUNT.name, fleet.instances))
        for part in (1, 2, 3):
            # The next in the ranking is the owner by then.
            cut_off(fleet, [order[part - 1], order[8 - part]], part)
            fleet.run_until(fleet.now + 26.0)
        fleet.run_until(fleet.now + 10.0)
        # All buckets are full, and callers come at once everywhere.
        fleet.loss_ratio = 0.3
        for name in fleet.instances:
            fleet.send_load(per_second=100.0, seconds=8.0, names=[name])
        fleet.run_until(fleet.now + 9.0)
        assert fleet.most_in_window() <= fleet.allowed_in_window()


def test_quota_holds_while_all_are_cut_off_from_each_other() -> None:
    """Guards against each instance using the whole part of instances alone."""
    fleet = make_fleet(instances=8)
    fleet.send_load(per_second=400.0, seconds=40.0)
    fleet.run_until(fleet.now + 2.0)
    for part, name in enumerate(fleet.instances):
        cut_off(fleet, [name], part)
    fleet.run_until(fleet.now + 39.0)
    assert fleet.most_in_window() <= fleet.allowed_in_window()


def test_hot_account_at_two_of_71_instances_gets_its_quota() -> None:
    """Guards against shares: two instances would get 2/71 of the rate."""
    fleet = make_fleet(instances=71)
    fleet.send_load(per_second=4.4 * 20, seconds=30.0, names=["g-3", "g-50"])
    messages = fleet.message_count
    fleet.run_until(fleet.now + 31.0)
    assert len(fleet.admitted) >= 20 * 30
    assert fleet.most_in_window() <= fleet.allowed_in_window()
    # Each instance asks at most about as often as the owner has a token.
    assert fleet.message_count - messages <= 3 * 20 * 30


def test_account_thinly_spread_over_71_instances_is_not_refused() -> None:
    """Guards against rounding each instance's part down to nothing."""
    fleet = make_fleet(
        instances=71, account=evolve(ACCOUNT, rate_per_second=0.15 * 71 * 1.6)
    )
    fleet.send_load(per_second=0.15 * 71, seconds=60.0)
    fleet.run_until(fleet.now + 61.0)
    assert len(fleet.admitted) == fleet.request_count > 500
    assert fleet.message_count <= 1.1 * fleet.request_count


def test_owner_goes_on_while_a_new_instance_is_too_new() -> None:
    """Guards against refusals each time an instance joins that ranks first."""
    fleet = make_fleet(instances=3)
    *callers, silent = rank_members(ACCOUNT.name, fleet.instances)
    # One does not answer, so the new one can't know that all others know of it.
    fleet.instances[silent].peers_cut = True
    order = rank_members(ACCOUNT.name, [f"g-{number}" for number in range(60)])
    new = next(name for name in order if name not in fleet.instances)
    fleet.send_load(
        per_second=ACCOUNT.rate_per_second / 1.6, seconds=30.0, names=callers
    )
    fleet.run_until(fleet.now + 5.0)
    joined_at = fleet.now
    fleet.start(new)
    fleet.run_until(fleet.now + 26.0)
    owners = {name for at, name in fleet.owner_grants if at > joined_at + 12.0}
    assert owners == {new}
    refused = sum(1 for at, _ in fleet.refused if at <= joined_at + 5.0)
    assert refused == 0


def test_late_answer_of_the_owner_is_used() -> None:
    """Guards against tokens that are spent at the owner and used nowhere."""
    fleet = make_fleet(instances=2)
    fleet.max_delay_seconds = 0.02
    owner = rank_members(ACCOUNT.name, fleet.instances)[0]
    other = next(name for name in fleet.instances if name != owner)
    fleet.send_load(per_second=10.0, seconds=20.0, names=[other])
    fleet.run_until(fleet.now + 21.0)
    assert len(fleet.admitted) >= 0.95 * fleet.request_count


def test_instance_known_to_all_others_is_an_owner_at_once() -> None:
    """Guards against refusals for 8 s at the start of a fleet, and for two owners."""
    fleet = SimFleet(account=ACCOUNT, tolerance=TOLERANCE, rng=random.Random(1))
    for name in NAMES[:4]:
        fleet.start(name)
    fleet.run_until(fleet.now + 3.0)
    for instance in fleet.instances.values():
        assert instance.times.known_at_seconds is not None
    fleet.send_load(per_second=10.0, seconds=5.0)
    fleet.run_until(fleet.now + 5.0)
    assert len(fleet.owner_grants) > 30 and not fleet.refused
