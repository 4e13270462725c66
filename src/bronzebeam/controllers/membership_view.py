"""What the membership controller publishes."""

from collections.abc import Mapping
from typing import Final

from attrs import frozen

from bronzebeam.routing.dissemination import PushCandidates, push_candidates
from bronzebeam.routing.membership_state import (
    MemberRecord,
    MemberRecords,
    MemberState,
    RecordsDigest,
    digest_records,
)
from bronzebeam.routing.rendezvous import rank_members
from bronzebeam.routing.watchers import (
    WATCH_KEY,
    choose_standby_watchers,
    choose_watchers,
)
from bronzebeam.transport.instance_list import ListedInstance

RANKED_MEMBERS: Final = 64


@frozen(kw_only=True)
class FleetPlan:
    """
    What follows from the set of members alone; kept until the set changes.

    :ivar members: live entries by name, this one included.
    :ivar push: for each ring the peers to push to.
    :ivar ranked: first live entries in the order in which they come to watch.
    :ivar digest: digest of the records.
    """

    members: Mapping[str, MemberRecord]
    push: PushCandidates
    ranked: tuple[MemberRecord, ...]
    digest: RecordsDigest


@frozen(kw_only=True)
class MembershipView:
    """
    The membership at one moment, as one entry knows it.

    :ivar revision: counts changes of the set of members at this entry.
    :ivar records: first-hand records, those of gone members included.
    :ivar suspected: members that could not be reached lately.
    :ivar unfit: members that can't be reached or don't reach the store.
    :ivar doubtful: members that the instance list no longer has.
    :ivar listed: the instance list as last read, all roles.
    """

    revision: int
    own: MemberRecord
    records: MemberRecords
    plan: FleetPlan
    suspected: frozenset[str] = frozenset()
    unfit_watchers: frozenset[str] = frozenset()
    unlisted: tuple[str, ...] = ()
    listed: tuple[ListedInstance, ...] = ()

    @property
    def members(self) -> Mapping[str, MemberRecord]:
        return self.plan.members

    @property
    def peers(self) -> tuple[str, ...]:
        """Return the other live entries."""
        own = self.own.instance
        return tuple(name for name in self.plan.members if name != own)

    @property
    def watchers(self) -> tuple[str, ...]:
        """Return the entries that should watch the store."""
        return choose_watchers(self.plan.ranked, excluded=self.unfit_watchers)

    @property
    def monitored_peers(self) -> tuple[str, ...]:
        """Return the peers that this entry checks on more often than on others."""
        usual = choose_watchers(self.plan.ranked)
        watched = set(usual) | set(self.watchers)
        own = self.own.instance
        if own not in watched and own not in choose_standby_watchers(
            self.plan.ranked, watched
        ):
            return self.unlisted
        known = [item.instance for item in self.plan.ranked if item.instance in watched]
        return self.unlisted + tuple(name for name in known if name != own)

    def address_of(self, instance: str) -> str | None:
        """Return the peer address of `instance`, if it is known."""
        record = self.plan.members.get(instance) or self.records.get(instance)
        return None if record is None else record.peer_address


def build_plan(
    own: MemberRecord, records: MemberRecords, listed: Mapping[str, MemberRecord]
) -> FleetPlan:
    """
    Build the plan of the entries that are live.

    :param records: first-hand records, which win.
    :param listed: entries that the instance list calls live.
    """
    first_hand = {
        name: item for name, item in records.items() if item.state == MemberState.LIVE
    }
    list_only = {name: item for name, item in listed.items() if name not in records}
    members = {**first_hand, **list_only}
    if own.state == MemberState.LIVE:
        members[own.instance] = own
    ranked = rank_members(WATCH_KEY, members)[:RANKED_MEMBERS]
    return FleetPlan(
        members=dict(sorted(members.items())),
        push=push_candidates(own, members.values()),
        ranked=tuple(members[name] for name in ranked),
        digest=digest_records(records),
    )
