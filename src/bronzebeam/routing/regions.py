"""The regions that the requests of a route or an account may be sent to."""

from collections.abc import Iterable, Mapping

from attrs import field, frozen


def combine_regions(*restrictions: Iterable[str]) -> frozenset[str] | None:
    """
    Return the regions that all restrictions allow; None if there is no restriction.

    :param restrictions: the regions that each allows; empty for any region.
    """
    allowed: frozenset[str] | None = None
    for restriction in restrictions:
        regions = frozenset(restriction)
        if regions:
            allowed = regions if allowed is None else allowed & regions
    return allowed


@frozen(kw_only=True)
class RegionMap:
    """
    The regions of the failure domains, as the settings state them.

    The region of a domain that is not listed is unknown, so that no restricted request
    is sent there.

    :ivar own_region: region of this instance; empty if unknown.
    """

    own_domain: str
    own_region: str = ""
    region_by_domain: Mapping[str, str] = field(factory=dict)

    def domains_in(self, regions: frozenset[str] | None) -> frozenset[str] | None:
        """
        Return the failure domains whose replicas may get a request.

        :param regions: the allowed regions; None for any.
        :return: None for any domain.
        """
        if regions is None:
            return None
        return frozenset(
            domain for domain, name in self.region_by_domain.items() if name in regions
        )

    def peer_domains(self, regions: frozenset[str] | None) -> frozenset[str] | None:
        """
        Return the failure domains whose instances may get the body of a request.

        These are the ones in the allowed regions and in the region of this instance,
        which has the body already.

        :param regions: the allowed regions; None for any.
        :return: None for any domain.
        """
        if regions is None:
            return None
        own_region = self.own_region or self.region_by_domain.get(self.own_domain, "")
        with_own = regions | {own_region} if own_region else regions
        domains = self.domains_in(with_own)
        return None if domains is None else domains | {self.own_domain}
