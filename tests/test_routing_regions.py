"""Tests of the regions that requests may be sent to."""

from bronzebeam.routing.regions import RegionMap, combine_regions

REGIONS = RegionMap(
    own_domain="domain-1",
    own_region="north",
    region_by_domain={
        "domain-1": "north",
        "domain-2": "north",
        "domain-3": "south",
        "domain-4": "west",
    },
)


def test_restrictions_of_route_and_account_both_apply() -> None:
    assert combine_regions((), ()) is None
    assert combine_regions(("north",), ()) == frozenset({"north"})
    assert combine_regions((), ("south",)) == frozenset({"south"})
    both = combine_regions(("north", "south"), ("south", "west"))
    assert both == frozenset({"south"})


def test_restrictions_that_exclude_each_other_allow_no_region() -> None:
    """Guards against an empty intersection that is taken for no restriction."""
    regions = combine_regions(("north",), ("south",))
    assert regions == frozenset() and regions is not None
    assert REGIONS.domains_in(regions) == frozenset()


def test_only_domains_of_a_known_region_are_allowed() -> None:
    assert REGIONS.domains_in(None) is None
    assert REGIONS.domains_in(frozenset({"south"})) == frozenset({"domain-3"})
    assert REGIONS.domains_in(frozenset({"east"})) == frozenset()
    assert REGIONS.domains_in(frozenset({""})) == frozenset()
    unlisted = RegionMap(own_domain="domain-1", own_region="north")
    assert unlisted.domains_in(frozenset({"north"})) == frozenset()


def test_bodies_go_to_peers_in_the_allowed_and_in_the_own_region() -> None:
    assert REGIONS.peer_domains(None) is None
    south = frozenset({"south"})
    expected = frozenset({"domain-1", "domain-2", "domain-3"})
    assert REGIONS.peer_domains(south) == expected
    # The own region is known by the domain if the settings don't name it.
    by_domain = RegionMap(
        own_domain="domain-1", region_by_domain=REGIONS.region_by_domain
    )
    assert by_domain.peer_domains(south) == expected
    unknown = RegionMap(own_domain="domain-9")
    assert unknown.peer_domains(south) == frozenset({"domain-9"})
