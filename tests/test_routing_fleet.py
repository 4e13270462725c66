"""Tests of how instances share shards and connections, without a network."""

import random

from hypothesis import given, strategies as st

from bronzebeam.routing.connection_shares import share_connections
from bronzebeam.routing.domain_groups import (
    DIRECT_MAX,
    group_by_domain,
    split_evenly,
)
from tests.fixtures_routing import COMMON


@COMMON
@given(
    domains=st.dictionaries(
        st.integers(0, 40),
        st.lists(st.sampled_from("abcd"), min_size=1, max_size=3, unique=True),
        max_size=30,
    ),
    seed=st.integers(0, 9),
)
def test_each_shard_is_in_one_group_of_a_domain_that_holds_it(
    domains: dict[int, list[str]], seed: int
) -> None:
    groups = group_by_domain(domains, rng=random.Random(seed))
    grouped = [shard for _, shards in groups for shard in shards]
    assert sorted(grouped) == sorted(domains)
    assert all(name in domains[shard] for name, shards in groups for shard in shards)
    assert len({name for name, _ in groups}) == len(groups)


def test_shards_that_one_domain_holds_make_one_group() -> None:
    domains = {index: ["b", "c"] if index % 2 else ["c", "d"] for index in range(8)}
    [(name, shards)] = group_by_domain(domains, rng=random.Random(1))
    assert name == "c" and len(shards) == 8


@COMMON
@given(
    limit=st.integers(20, 60),
    domains=st.lists(st.integers(1, 20), min_size=1, max_size=4),
)
def test_connections_that_are_kept_fit_the_limit(
    limit: int, domains: list[int]
) -> None:
    instances = sum(domains)
    kept = sum(
        count
        * share_connections(
            limit=limit,
            instances=instances,
            domain_instances=count,
            own_domain=index == 0,
        ).warm
        for index, count in enumerate(domains)
    )
    assert kept <= limit


def test_few_instances_hold_connections_to_all_replicas() -> None:
    for own_domain in (True, False):
        share = share_connections(
            limit=25, instances=8, domain_instances=3, own_domain=own_domain
        )
        assert share.most == 2 and share.warm >= 1


def test_many_instances_hold_none_to_replicas_elsewhere() -> None:
    share = share_connections(
        limit=54, instances=63, domain_instances=16, own_domain=False
    )
    assert share.warm == 0 and share.most == 1


@COMMON
@given(shards=st.lists(st.integers(0, 500), unique=True, max_size=200))
def test_split_keeps_every_shard_in_groups_of_like_size(shards: list[int]) -> None:
    groups = split_evenly(shards)
    assert sorted(item for group in groups for item in group) == sorted(shards)
    sizes = [len(group) for group in groups]
    assert max(sizes) <= DIRECT_MAX and max(sizes) - min(sizes) <= 1
