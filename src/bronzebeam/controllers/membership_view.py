"""Immutable views of the fleet that the membership controller publishes."""

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
    Values computed from the set of members alone, once for each change of the set.

    :ivar members: live entries by name, including this one.
    :ivar push: candidate peers to push to, for each ring.
    :ivar ranked: live entries in the order in which they are chosen as watchers, of
        which only the first `RANKED_MEMBERS` are included.
    :ivar digest: digest of the records.
    """

    members: Mapping[str, MemberRecord]
    push: PushCandidates
    ranked: tuple[MemberRecord, ...]
    digest: RecordsDigest


@frozen(kw_only=True)
class MembershipView:
    """
    Snapshot of the membership as one entry knows it.

    :ivar revision: number of changes of the set of members at this entry.
    :ivar records: records that came from the members, including gone ones.
    :ivar suspected: members that were unreachable recently.
    :ivar unfit_watchers: members that are unreachable or can't reach the store.
    :ivar unlisted: members that are missing from the instance list.
    :ivar listed: the instance list as last read, including backend servers.
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
        """Return the peers that this entry exchanges with more often than others."""
        default = choose_watchers(self.plan.ranked)
        watchers = set(default) | set(self.watchers)
        own = self.own.instance
        if own not in watchers and own not in choose_standby_watchers(
            self.plan.ranked, watchers
        ):
            return self.unlisted
        known = [
            item.instance for item in self.plan.ranked if item.instance in watchers
        ]
        return self.unlisted + tuple(name for name in known if name != own)

    def address_of(self, instance: str) -> str | None:
        """Return the peer address of `instance`, if it is known."""
        record = self.plan.members.get(instance) or self.records.get(instance)
        return None if record is None else record.peer_address


def build_plan(
    own: MemberRecord, records: MemberRecords, listed: Mapping[str, MemberRecord]
) -> FleetPlan:
    """
    Build the plan of the live entries.

    :param records: records that came from the members; these take precedence.
    :param listed: entries that are live according to the instance list.
    """
    live = {
        name: item for name, item in records.items() if item.state == MemberState.LIVE
    }
    list_only = {name: item for name, item in listed.items() if name not in records}
    members = {**live, **list_only}
    if own.state == MemberState.LIVE:
        members[own.instance] = own
    ranked = rank_members(WATCH_KEY, members)[:RANKED_MEMBERS]
    return FleetPlan(
        members=dict(sorted(members.items())),
        push=push_candidates(own, members.values()),
        ranked=tuple(members[name] for name in ranked),
        digest=digest_records(records),
    )
