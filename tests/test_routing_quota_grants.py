"""Tests of the decisions of owners, deputies and askers about quotas."""

import random

from attrs import evolve
from hypothesis import given, strategies as st

from bronzebeam.routing.accounts import Account
from bronzebeam.routing.known_by import KnownBy
from bronzebeam.routing.quota_grants import (
    CONTACT_SHARES,
    FIRST_RANK_SHARE,
    UNLEASED_SHARE,
    QuotaGrants,
    deputy_share,
)
from bronzebeam.routing.quota_members import (
    MIN_REGISTERED_SECONDS,
    QuotaMembers,
    RegistrationTimes,
    Standing,
)
from bronzebeam.routing.quota_tokens import (
    ALONE_SHARE,
    AccountTokens,
    alone_rate_per_second,
)
from bronzebeam.routing.quotas import QuotaAsk, QuotaTolerance
from bronzebeam.routing.rendezvous import rank_members
from bronzebeam.routing.silent_peers import MAX_SILENT_SECONDS, SilentPeers
from tests.fixtures_quotas import LEASE_SECONDS, TOLERANCE
from tests.fixtures_routing import HYPOTHESIS_SETTINGS

# The owner's bucket holds just the burst, and accrues at the account's rate.
NO_TOLERANCE = QuotaTolerance(window_seconds=5.0, overage_ratio=0.0, slack_count=0.0)
ACCOUNT = Account(name="shop", rate_per_second=20.0, burst_count=40.0)
OWNER = Standing(
    rank=0,
    owner_since_seconds=0.0,
    in_contact=True,
    is_leased=True,
    is_settled=True,
)


def ask(wanted: int, *, waiting: int | None = None, returned: int = 0) -> QuotaAsk:
    return QuotaAsk(
        account=ACCOUNT.name,
        wanted_count=wanted,
        waiting_count=wanted if waiting is None else waiting,
        returned_count=returned,
    )


# Owners and deputies.


def test_instance_is_an_owner_only_while_all_conditions_hold() -> None:
    """Guards against owners that are new, cut off, or without a lease."""
    members = QuotaMembers(instance="a")
    times = RegistrationTimes(lease_seconds=LEASE_SECONDS)
    members.update(["a"], 100.0)
    members.confirm(100.0, 100.0)
    times.record_renewal(100.0, 100.5)

    def is_owner(now: float) -> bool:
        return members.standing("x", now, times).owner_since_seconds is not None

    members.confirm(105.0, 105.0)
    assert not is_owner(108.4)
    assert is_owner(108.5)
    assert not is_owner(111.1)  # contact
    members.confirm(114.0, 114.0)
    assert is_owner(114.9)
    assert not is_owner(115.1)  # lease
    times.record_renewal(115.2, 115.3)
    assert is_owner(115.4)
    times.record_gap()
    assert not is_owner(115.5)


def test_instance_that_one_other_may_not_know_is_not_an_owner_at_once() -> None:
    """Guards against a new owner beside a former one that has lost contact."""
    members = QuotaMembers(instance="new")
    times = RegistrationTimes(lease_seconds=LEASE_SECONDS)
    known_by = KnownBy()
    times.record_renewal(100.0, 100.5)
    members.update(["a", "b", "new"], 100.2)
    members.confirm(100.2, 100.2)
    # The view is older than the registration, so it may lack an instance.
    assert known_by.members_to_ask(members, times, 100.6) == []
    members.confirm(101.0, 101.0)
    assert sorted(known_by.members_to_ask(members, times, 101.1)) == ["a", "b"]

    def record(name: str, registered_at: float, makes_way: bool) -> None:
        known_by.record(name, registered_at_seconds=registered_at, makes_way=makes_way)

    record("a", 100.5, False)
    record("b", 90.0, False)
    assert known_by.members_to_ask(members, times, 101.2) == ["b"]
    record("b", 100.5, False)
    # All know of it; now they are asked to make way.
    assert sorted(known_by.members_to_ask(members, times, 101.3)) == ["a", "b"]
    record("a", 100.5, True)
    record("b", 100.5, False)
    assert known_by.members_to_ask(members, times, 101.4) == ["b"]
    assert times.owner_from_seconds() == 100.5 + MIN_REGISTERED_SECONDS
    record("b", 100.5, True)
    assert known_by.members_to_ask(members, times, 101.5) == []
    assert times.owner_from_seconds() == 101.5
    times.record_gap()
    times.record_renewal(110.0, 110.0)
    assert times.owner_from_seconds() == 110.0 + MIN_REGISTERED_SECONDS


def test_instance_stops_as_owner_when_it_says_that_it_knows_a_new_one() -> None:
    """Guards against two owners, where a new instance relies on that statement."""
    first, second = rank_members(ACCOUNT.name, ["a", "b"])
    members = QuotaMembers(instance=second)
    times = RegistrationTimes(lease_seconds=LEASE_SECONDS)
    times.record_renewal(100.0, 90.0)
    members.update([second], 100.0)
    members.confirm(100.0, 100.0)
    assert not members.acknowledge(first, makes_way=True)
    members.update([first, second], 101.0)
    members.confirm(101.0, 101.0)
    assert members.acknowledge(first, makes_way=False)
    standing = members.standing(ACCOUNT.name, 101.5, times)
    assert standing.owner_since_seconds is not None
    assert members.acknowledge(first, makes_way=True)
    standing = members.standing(ACCOUNT.name, 101.5, times)
    assert standing.owner_since_seconds is None and standing.rank == 1


def test_bucket_restarts_after_another_instance_may_have_been_the_owner() -> None:
    """Guards against two full buckets, one after the other, within one window."""
    first, second = rank_members(ACCOUNT.name, ["a", "b"])
    members = QuotaMembers(instance=second)
    times = RegistrationTimes(lease_seconds=LEASE_SECONDS)
    times.record_renewal(0.0, 0.0)
    members.update([second], 0.0)
    members.confirm(0.0, 0.0)
    members.update([second], 20.0)
    times.record_renewal(20.0, 20.0)
    members.confirm(20.0, 20.0)
    grants = QuotaGrants(tolerance=NO_TOLERANCE, started_at_seconds=0.0)

    def grant(now: float) -> tuple[int, bool]:
        standing = members.standing(ACCOUNT.name, now, times)
        result = grants.grant(ACCOUNT, ask(100), standing=standing, now_seconds=now)
        return result.granted_count, result.as_owner

    assert grant(23.0) == (40, True)
    members.confirm(24.0, 24.0)
    members.update([first, second], 25.0)
    members.confirm(25.0, 25.0)
    # The new one is registered since 24 at the earliest.
    assert grant(24.0 + MIN_REGISTERED_SECONDS - 2.0)[1]
    members.confirm(32.0, 32.0)
    times.record_renewal(32.0, 32.0)
    assert not grant(24.0 + MIN_REGISTERED_SECONDS + 0.1)[1]
    members.confirm(37.0, 37.0)
    members.update([second], 40.0)
    members.confirm(40.0, 40.0)
    assert grant(40.5) == (10, True)


@HYPOTHESIS_SETTINGS
@given(
    changes=st.lists(
        st.sets(st.sampled_from([f"m-{number}" for number in range(30)])), max_size=20
    ),
    accounts=st.lists(st.sampled_from("abcdef"), max_size=20),
)
def test_kept_rankings_equal_new_ones(
    changes: list[set[str]], accounts: list[str]
) -> None:
    """Guards against instances that disagree about the owner after a change."""
    members = QuotaMembers(instance="own")
    now = 100.0
    for index, names in enumerate(changes):
        now += 20.0
        members.update(names, now)
        members.confirm(now, now)
        for account in accounts[index % 3 :: 3]:
            expected = rank_members(account, names | {"own"})[:3]
            assert members.candidates(account, now + 10.0) == expected


def test_shares_of_the_reserve_leave_a_margin() -> None:
    """Guards against shares that add up to more than the reserve."""
    beside_an_owner = sum(CONTACT_SHARES[1:]) + FIRST_RANK_SHARE + ALONE_SHARE
    assert beside_an_owner <= 0.9 + 1e-9
    after_two_losses = sum(CONTACT_SHARES[1:]) + 2 * UNLEASED_SHARE + ALONE_SHARE
    assert after_two_losses <= 0.9 + 1e-9
    # Without contact, only the first in its own view grants.
    for rank in (1, 2, 3, None):
        standing = evolve(OWNER, rank=rank, in_contact=False)
        assert deputy_share(standing) == 0.0


@HYPOTHESIS_SETTINGS
@given(
    asks=st.lists(
        st.tuples(st.floats(0.0, 1.5), st.integers(0, 60), st.integers(0, 60)),
        min_size=1,
        max_size=60,
    ),
    rank=st.integers(0, 2),
)
def test_deputy_grants_no_more_than_its_part_in_a_window(
    asks: list[tuple[float, int, int]], rank: int
) -> None:
    """Guards against a deputy that grants a full bucket at each end of a window."""
    grants = QuotaGrants(tolerance=TOLERANCE, started_at_seconds=0.0)
    standing = evolve(OWNER, rank=rank, owner_since_seconds=None, in_contact=rank > 0)
    part = deputy_share(standing) * TOLERANCE.deputy_reserve_count(ACCOUNT)
    granted: list[tuple[float, int]] = []
    now = 100.0
    for wait_seconds, wanted, returned in asks:
        now += wait_seconds
        grant = grants.grant(
            ACCOUNT, ask(wanted, returned=returned), standing=standing, now_seconds=now
        )
        granted.append((now, grant.granted_count))
        window = [n for at, n in granted if at > now - TOLERANCE.window_seconds - 0.25]
        assert sum(window) <= part + 1e-6


@HYPOTHESIS_SETTINGS
@given(
    asks=st.lists(
        st.tuples(
            st.floats(0.0, 1.0), st.integers(0, 80), st.integers(0, 80), st.booleans()
        ),
        max_size=60,
    )
)
def test_owner_grants_no_more_than_rate_and_burst(
    asks: list[tuple[float, int, int, bool]],
) -> None:
    """Guards against returned tokens, or lowered limits, that add tokens."""
    grants = QuotaGrants(tolerance=NO_TOLERANCE, started_at_seconds=0.0)
    now = start = 100.0
    unused = 0
    total = 0
    for wait_seconds, wanted, returned, is_lowered in asks:
        now += wait_seconds
        account = ACCOUNT
        if is_lowered:
            account = evolve(ACCOUNT, rate_per_second=2.0, burst_count=4.0)
        given_back = min(returned, unused)
        grant = grants.grant(
            account,
            ask(wanted, waiting=wanted // 2, returned=given_back),
            standing=OWNER,
            now_seconds=now,
        )
        unused += grant.granted_count - given_back
        total += grant.granted_count - given_back
        assert total <= 40 + 20 * (now - start) + 1e-6


def test_returned_tokens_can_be_granted_again_but_no_others() -> None:
    """Guards against a peer that states more tokens than it was granted."""
    grants = QuotaGrants(tolerance=NO_TOLERANCE, started_at_seconds=0.0)

    def grant(wanted: int, returned: int = 0) -> int:
        return grants.grant(
            ACCOUNT, ask(wanted, returned=returned), standing=OWNER, now_seconds=100.0
        ).granted_count

    assert grant(30) == 30
    assert grant(100, returned=20) == 30
    assert grant(100, returned=1_000) == 40
    assert grant(10) == 0


def test_tokens_in_advance_are_granted_only_from_a_bucket_that_is_half_full() -> None:
    """Guards against tokens that expire unused while others are refused."""
    grants = QuotaGrants(tolerance=NO_TOLERANCE, started_at_seconds=0.0)

    def grant(wanted: int, waiting: int) -> int:
        return grants.grant(
            ACCOUNT, ask(wanted, waiting=waiting), standing=OWNER, now_seconds=100.0
        ).granted_count

    assert grant(100, 5) == 20
    assert grant(100, 5) == 5


def test_forgotten_accounts_start_with_an_empty_bucket() -> None:
    """Guards against a second burst for an account that was dropped for memory."""
    grants = QuotaGrants(tolerance=NO_TOLERANCE, started_at_seconds=0.0, max_accounts=2)

    def grant(name: str, now: float) -> int:
        account = evolve(ACCOUNT, name=name)
        return grants.grant(
            account, ask(100), standing=OWNER, now_seconds=now
        ).granted_count

    assert [grant(name, 100.0) for name in ("a", "b")] == [40, 40]
    assert grant("c", 100.5) == 10  # since a, the oldest, was used
    assert grant("a", 101.0) == 20  # since b was used
    assert grant("a", 110.0) == 40


def test_refused_askers_are_told_to_come_back_one_after_the_other() -> None:
    """Guards against all instances asking again at the same moment."""
    grants = QuotaGrants(tolerance=NO_TOLERANCE, started_at_seconds=0.0)
    grants.grant(ACCOUNT, ask(40), standing=OWNER, now_seconds=100.0)
    waits = [
        grants.grant(
            ACCOUNT, ask(1), standing=OWNER, now_seconds=100.0
        ).retry_after_seconds
        for _ in range(8)
    ]
    assert waits[0] == 0.05 and waits[1] > waits[0] and max(waits) <= 0.31


# The tolerance.


@HYPOTHESIS_SETTINGS
@given(
    rate=st.floats(0.01, 1e4),
    burst=st.floats(0, 1e4),
    overage=st.floats(0, 1),
    slack=st.floats(0, 100),
)
def test_parts_of_the_tolerance_fit_into_it(
    rate: float, burst: float, overage: float, slack: float
) -> None:
    """Guards against lifetimes and turns that use more than the tolerance."""
    account = Account(name="x", rate_per_second=rate, burst_count=burst)
    tolerance = QuotaTolerance(
        window_seconds=5.0, overage_ratio=overage, slack_count=slack
    )
    late = rate * tolerance.lifetime_seconds(account)
    reserve = tolerance.deputy_reserve_count(account)
    if reserve:
        assert late + reserve <= tolerance.reserve_count(account) + 1e-6
    alone = alone_rate_per_second(account, tolerance)
    assert alone * 6.5 <= ALONE_SHARE * reserve + 1e-6


# The asker.


def test_token_is_used_before_it_expires_or_not_at_all() -> None:
    """Guards against a paused holder that uses tokens that others have got since."""
    tokens = AccountTokens()
    tokens.add(2, expires_at_seconds=10.25)
    tokens.add(1, expires_at_seconds=10.20)
    assert tokens.take(10.0) == 10.20
    assert tokens.take(10.2) == 10.25
    assert tokens.take(10.25) is None
    tokens.add(1, expires_at_seconds=10.25)
    assert tokens.held_count(11.0) == 0


def test_asker_asks_for_as_many_tokens_as_it_used_lately() -> None:
    """Guards against one message for each request of a hot account."""
    tokens = AccountTokens()
    tokens.add(30, expires_at_seconds=99.0)
    for index in range(30):
        tokens.take(10.0 + index * 0.005)
    question = tokens.ask("shop", waiting_count=3, now_seconds=10.15)
    assert (question.wanted_count, question.waiting_count) == (33, 3)
    question = tokens.ask("shop", waiting_count=1, now_seconds=10.60)
    assert (question.wanted_count, question.waiting_count) == (1, 1)


def test_instances_alone_together_keep_their_part() -> None:
    """Guards against each instance that is cut off using the whole part."""
    rng = random.Random(3)
    account = Account(name="shop", rate_per_second=60.0, burst_count=120.0)
    instances = 71
    holders = [AccountTokens() for _ in range(instances)]
    per_second = alone_rate_per_second(account, TOLERANCE)
    times = []
    for step in range(2_400):
        now = 100.0 + step / 20
        for tokens in holders:
            wait_seconds = tokens.seconds_until_turn(
                per_second=per_second,
                instance_count=instances,
                now_seconds=now,
                rng=rng,
                is_delayed=False,
            )
            if wait_seconds <= 0.0:
                tokens.use_turn()
                times.append(now)
    most = max(sum(at <= item < at + 5.0 for item in times) for at in times)
    part = (ALONE_SHARE + 0.1) * TOLERANCE.deputy_reserve_count(account)
    assert 0.7 * per_second * 120 <= len(times) <= 1.3 * per_second * 120
    assert most <= part


def test_silent_peer_is_left_out_and_tried_again() -> None:
    """Guards against waiting for a peer that is cut off with each request."""
    silent = SilentPeers()
    silent.record_unanswered("a", 10.0, live_count=4)
    assert not silent.is_silent("a", 10.0)
    silent.record_unanswered("a", 10.0, live_count=4)
    assert silent.is_silent("a", 10.09) and not silent.is_silent("a", 10.11)
    for _ in range(40):
        silent.record_unanswered("a", 11.0, live_count=4)
    assert silent.is_silent("a", 11.9)
    assert not silent.is_silent("a", 11.0 + MAX_SILENT_SECONDS)
    silent.record_answer("a")
    silent.record_unanswered("a", 12.0, live_count=4)
    assert not silent.is_silent("a", 12.0)
