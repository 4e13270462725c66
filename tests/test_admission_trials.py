"""
Trials of admission with many instances that share replicas, without a network.

`python -m tests.test_admission_trials` prints the table of docs/design/admission.md.
"""

from collections.abc import Callable
from functools import cache

from tests.fixtures_admission import (
    SHARDS,
    SLOTS,
    CallerClass,
    Play,
    median_wait_ms,
    refused_share,
    served_share,
)
from tests.fixtures_admission_orders import POLICIES

CHOSEN = "cost to callers"
INSTANCES = 71
ACCOUNTS = 78
BURST_FROM, BURST_UNTIL = 4.0, 14.0
MEASURED = {"since": 5.0, "until": 14.0}
# Single accounts are compared over a time in which chance is smaller than the bounds.
ACCOUNTS_UNTIL = 65.0
# Work of urgent searches, searches and single requests of the capacity, at usual rates.
USUAL_SHARES = {"urgent": 0.42, "search": 0.21, "single": 0.07}

Rate = Callable[[float], float]


def burst(now: float) -> float:
    """Return the multiple of the usual rate, between 1.8 and 2.6 during the burst."""
    if not BURST_FROM <= now < BURST_UNTIL:
        return 1.0
    return 1.8 if int(now) % 2 else 2.6


def usual(now: float) -> float:
    return 1.0


def mixed_load(*, scale: float = 1.0, account_count: int = 6) -> list[CallerClass]:
    """
    Return load (a): a burst of urgent searches beside others, each of other accounts.

    :param scale: multiple of the usual rates.
    """
    kinds: list[tuple[str, int, float, float, int, Rate]] = [
        ("urgent", 0, 7.5, 60.0, SHARDS, burst),
        ("search", 1, 22.5, 177.0, SHARDS, usual),
        ("single", 2, 180.0, 1_197.0, 1, usual),
    ]
    classes = []

    def rate_of(rate: float, multiple: Rate) -> Rate:
        return lambda now: rate * multiple(now)

    for name, priority, work_ms, target_ms, shards, multiple in kinds:
        slots = scale * USUAL_SHARES[name] * SLOTS * SHARDS / shards
        rate = slots / (work_ms / 1e3) / account_count
        for number in range(account_count):
            classes.append(
                CallerClass(
                    name=name,
                    account=f"{name}-{number}",
                    priority=priority,
                    work_ms=work_ms,
                    target_ms=target_ms,
                    rate_per_second=rate_of(rate, multiple),
                    is_single=shards == 1,
                )
            )
    return classes


def account_load(*, share: float, hot: float = 1.0) -> list[CallerClass]:
    """
    Return loads (b) and (c): searches of 78 accounts.

    :param share: demand at usual rates, of the capacity.
    :param hot: multiple of the usual rate at which the first account asks.
    """
    rate = share * SLOTS / 0.0225 / ACCOUNTS
    return [
        CallerClass(
            name="hot" if number == 0 and hot > 1.0 else "search",
            account=f"account-{number}",
            priority=1,
            work_ms=22.5,
            target_ms=177.0,
            rate_per_second=(
                (lambda now: rate * hot) if not number else lambda now: rate
            ),
        )
        for number in range(ACCOUNTS)
    ]


LOADS: dict[str, Callable[[], list[CallerClass]]] = {
    "a": mixed_load,
    "a, all slots used before": lambda: mixed_load(scale=1.0 / 0.7),
    "b": lambda: account_load(share=0.95, hot=7.0),
    "c": lambda: account_load(share=1.5),
}


MIXED_PLAYS = [
    (load, instances)
    for load in ("a", "a, all slots used before")
    for instances in (2, 12, INSTANCES)
]


@cache
def play(
    load: str, policy: str = CHOSEN, instances: int = INSTANCES, until: float = 14.0
) -> Play:
    return Play(
        classes=LOADS[load](), instance_count=instances, policy=POLICIES[policy]
    ).run(until)


def share_by_account(run: Play) -> dict[str, float]:
    accounts = {kind.account for kind in run.classes}
    return {
        name: served_share(run.select(since=5.0, until=run.now - 1.5, account=name))
        for name in accounts
    }


def test_less_urgent_class_is_never_served_better() -> None:
    # Guards against long waits of patient classes taking the slots of urgent ones.
    for load, instances in MIXED_PLAYS:
        run = play(load, instances=instances)
        urgent, *others = (
            served_share(run.select(**MEASURED, name=name)) for name in USUAL_SHARES
        )
        assert urgent >= max(others), (load, instances, urgent, others)


def test_no_account_is_starved_by_more_urgent_ones() -> None:
    # Guards against strict priorities under a long overload.
    for load, instances in MIXED_PLAYS:
        run = play(load, instances=instances)
        shares = {
            name: 1.0 - refused_share(run.select(**MEASURED, name=name))
            for name in USUAL_SHARES
        }
        mean = sum(shares.values()) / len(shares)
        assert min(shares.values()) >= 0.25 * mean, (load, instances, shares)


def test_hot_account_pays_for_its_own_excess() -> None:
    # Guards against one account whose refused requests come back before the others'.
    run = play("b", until=ACCOUNTS_UNTIL)
    shares = share_by_account(run)
    hot = shares.pop("account-0")
    mean = sum(shares.values()) / len(shares)
    assert hot < mean
    assert min(shares.values()) >= 0.8 * mean, min(shares.values())
    # Its own usual rate, a seventh of what it asks for, is not lost to it.
    assert hot * 7.0 >= 0.8 * mean


def test_equal_accounts_are_served_alike() -> None:
    # Guards against accounts that keep losing by chance.
    shares = share_by_account(play("c", until=ACCOUNTS_UNTIL))
    mean = sum(shares.values()) / len(shares)
    assert min(shares.values()) >= 0.8 * mean, (min(shares.values()), mean)


def test_instances_leave_no_slots_idle_and_do_not_overfill_queues() -> None:
    # Guards against limits that add up to too little or too much over the instances.
    for instances in (2, 12, INSTANCES):
        run = play("a", instances=instances)
        queued = sum(run.queued[600:1400]) / 800 / SHARDS
        # Half of the urgent target is 30 ms, in which six slots do 24 urgent searches.
        assert queued <= 24.0, (instances, queued)
        capacity = 14.0 * SLOTS * SHARDS
        before = 4.0 * SLOTS * SHARDS * sum(USUAL_SHARES.values())
        busy = (run.busy_seconds - before) / (capacity - 4.0 * SLOTS * SHARDS)
        assert busy >= 0.85, (instances, busy)


def test_chosen_order_serves_urgent_callers_best() -> None:
    # Guards against a change that makes another order the better choice.
    urgent = {
        policy: served_share(play("a", policy).select(**MEASURED, name="urgent"))
        for policy in POLICIES
    }
    assert max(urgent, key=lambda name: urgent[name]) == CHOSEN, urgent


def print_table() -> None:
    for load in LOADS:
        for policy in POLICIES:
            run = play(load, policy, until=ACCOUNTS_UNTIL if load in "bc" else 14.0)
            names = dict.fromkeys(kind.name for kind in run.classes)
            cells = []
            for name in names:
                calls = run.select(**MEASURED, name=name)
                cells.append(
                    f"{name} {served_share(calls):.2f} / {refused_share(calls):.2f}"
                    f" / {median_wait_ms(calls):.0f}"
                )
            shares = share_by_account(run)
            if load in "bc":
                shares.pop("account-0")
                mean = sum(shares.values()) / len(shares)
                cells.append(f"{min(shares.values()) / max(mean, 1e-9):.2f}")
            print(f"| {load} | {policy} | {' | '.join(cells)} |")


if __name__ == "__main__":
    print_table()
