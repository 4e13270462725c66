"""Membership of the entry fleet, from the instance list and peers' own records."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

import anyio
from attrs import evolve

from bronzebeam.clock import Clock
from bronzebeam.controllers.base import Controller
from bronzebeam.controllers.membership_messages import (
    InstanceListReceived,
    LeaveFleet,
    MembershipMessage,
    PeerReached,
    PeerUnreachable,
    RecordsReceived,
    StoreUnreachableFrom,
)
from bronzebeam.controllers.membership_view import (
    FleetPlan,
    MembershipView,
    build_plan,
)
from bronzebeam.controllers.update_outbox import UpdateOutbox
from bronzebeam.routing.dissemination import (
    exchange_interval_seconds,
    list_slot,
    seconds_to_next_list_check,
    should_read_in_slot,
)
from bronzebeam.routing.membership_state import (
    MemberRecord,
    MemberState,
    limit_records,
    merge_records,
)
from bronzebeam.transport.instance_list import (
    InstanceList,
    InstanceListUnavailable,
    InstanceRole,
    InstanceState,
    ListedInstance,
)

__all__ = [
    "PeerUnreachable",
    "PeerReached",
    "FleetPlan",
    "InstanceListReceived",
    "LeaveFleet",
    "MembershipController",
    "MembershipView",
    "RecordsReceived",
    "StoreUnreachableFrom",
]

SUSPECT_SECONDS: Final = 10.0
UNFIT_WATCHER_SECONDS: Final = 10.0
LIST_TIMEOUT_SECONDS: Final = 2.0
LIST_JITTER_SECONDS: Final = 0.25
MISSED_EXCHANGES_BEFORE_ISOLATION: Final = 3
MISSED_POLLS_BEFORE_UNLISTED: Final = 2
MAX_FORWARDED_RECORDS: Final = 8


class MembershipController(Controller[MembershipMessage]):
    """
    Owns the membership of the fleet as this entry knows it.

    :param own: this entry's record; `incarnation` must increase with each restart
        under the same name, for instance the wall time of the start in milliseconds.
    :ivar last_contact_seconds: monotonic time of the last message from a peer; None
        before the first.
    :ivar last_listed_seconds: monotonic time of the last update of the instance list.
    """

    def __init__(
        self,
        *,
        own: MemberRecord,
        instance_list: InstanceList,
        outbox: UpdateOutbox,
        clock: Clock,
        rng: Random,
        log: Callable[..., None] = lambda *args, **fields: None,
    ) -> None:
        super().__init__()
        self._instance_list = instance_list
        self._outbox = outbox
        self._clock = clock
        self._rng = rng
        self._log = log
        self._listed_entries: dict[str, MemberRecord] = {}
        self._missed_polls: dict[str, int] = {}
        self._suspected_until: dict[str, float] = {}
        self._unfit_until: dict[str, float] = {}
        self.last_contact_seconds: float | None = None
        self.last_listed_seconds: float | None = None
        records = {own.instance: own}
        self._view = MembershipView(
            revision=1, own=own, records=records, plan=build_plan(own, records, {})
        )

    @property
    def view(self) -> MembershipView:
        return self._view

    async def run(self) -> None:
        """Handle messages and read the instance list until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(super().run)
            tasks.start_soon(self._poll_list)

    async def handle(self, message: MembershipMessage) -> None:
        """Apply one message to the state."""
        if isinstance(message, RecordsReceived):
            self._merge(message.records, forward=message.pushed)
        elif isinstance(message, InstanceListReceived):
            self._apply_list(message)
        elif isinstance(message, PeerReached):
            self._handle_peer_reached(message.instance)
        elif isinstance(message, PeerUnreachable):
            self._handle_peer_unreachable(message.instance)
        elif isinstance(message, StoreUnreachableFrom):
            until = self._clock.monotonic_seconds() + UNFIT_WATCHER_SECONDS
            self._unfit_until[message.instance] = until
            self._publish_health()
        else:
            self._leave()

    async def _poll_list(self) -> None:
        while True:
            try:
                with anyio.fail_after(LIST_TIMEOUT_SECONDS):
                    instances = await self._instance_list.fetch()
            except (InstanceListUnavailable, TimeoutError) as error:
                self._log("instance_list_unavailable", error=str(error))
            else:
                self.post(InstanceListReceived(instances=instances))
            wall = self._clock.wall_seconds()
            should_read_next = self._should_read_in_slot(list_slot(wall) + 1)
            pause_seconds = seconds_to_next_list_check(
                wall, should_read_next=should_read_next
            )
            jitter_seconds = self._rng.uniform(0.0, LIST_JITTER_SECONDS)
            await anyio.sleep(pause_seconds + jitter_seconds)

    def should_read_list_at(self, wall_seconds: float) -> bool:
        """Return whether it is this entry's turn to read the instance list."""
        return self._should_read_in_slot(list_slot(wall_seconds))

    def _should_read_in_slot(self, slot: int) -> bool:
        view = self._view
        exchange_seconds = exchange_interval_seconds(len(view.members))
        isolated_since = self._clock.monotonic_seconds() - (
            MISSED_EXCHANGES_BEFORE_ISOLATION * exchange_seconds
        )
        if (
            self.last_contact_seconds is None
            or self.last_contact_seconds < isolated_since
        ):
            return True
        return should_read_in_slot(
            slot,
            own=view.own.instance,
            members=tuple(view.members),
            suspected=view.suspected,
        )

    def _merge(self, received: Iterable[MemberRecord], *, forward: bool) -> None:
        result = merge_records(self._view.records, received)
        if not result.changed:
            return
        own = self._refute(result.records.get(self._view.own.instance))
        records = limit_records({**result.records, own.instance: own})
        # A record that the limit drops at once must not be pushed on: each entry would
        # treat it as new again, and it would circulate for ever.
        changed = [
            item
            for item in result.changed
            if item.instance != own.instance and item.instance in records
        ]
        if own != self._view.own:
            changed.append(own)
        if not changed:
            return
        if forward or len(changed) <= MAX_FORWARDED_RECORDS:
            self._outbox.add_records(tuple(changed))
        for record in changed:
            self._log(
                "member_changed",
                instance=record.instance,
                state=record.state.value,
                incarnation=record.incarnation,
            )
        self._view = evolve(self._view, own=own, records=records)
        self._publish_plan()

    def _refute(self, received: MemberRecord | None) -> MemberRecord:
        """
        Return the own record, with a new incarnation if `received` supersedes it.

        Such a record is outdated, or calls this live entry gone.
        """
        own = self._view.own
        if received is None or received.precedence <= own.precedence:
            return own
        return evolve(own, incarnation=received.incarnation + 1)

    def _apply_list(self, message: InstanceListReceived) -> None:
        instances = message.instances
        entries = [item for item in instances if item.role is InstanceRole.ENTRY]
        names = {item.instance for item in entries}
        listed = {
            item.instance: _listed_record(item)
            for item in entries
            if item.state is InstanceState.LIVE
        }
        self._missed_polls = {
            name: self._missed_polls.get(name, 0) + message.is_poll
            for name in self._view.members
            if name not in names
        }
        self.last_listed_seconds = self._clock.monotonic_seconds()
        has_changed = listed != self._listed_entries
        self._listed_entries = listed
        self._view = evolve(self._view, listed=instances)
        if has_changed:
            self._publish_plan()
        self._publish_health()

    def _handle_peer_reached(self, instance: str) -> None:
        self.last_contact_seconds = self._clock.monotonic_seconds()
        self._missed_polls.pop(instance, None)
        self._suspected_until.pop(instance, None)
        was_flagged = (
            instance in self._view.suspected or instance in self._view.unlisted
        )
        if was_flagged or self._has_expired_marks(self.last_contact_seconds):
            self._publish_health()

    def _handle_peer_unreachable(self, instance: str) -> None:
        until = self._clock.monotonic_seconds() + SUSPECT_SECONDS
        self._suspected_until[instance] = until
        if instance not in self._view.suspected:
            self._log("peer_unreachable", instance=instance)
        record = self._view.records.get(instance)
        if instance in self._view.unlisted and record is not None:
            gone = record.ended(MemberState.GONE, at_ms=self._wall_ms())
            self._merge((gone,), forward=True)
        self._publish_health()

    def _leave(self) -> None:
        own = self._view.own.ended(MemberState.LEAVING, at_ms=self._wall_ms())
        records = limit_records({**self._view.records, own.instance: own})
        self._view = evolve(self._view, own=own, records=records)
        self._outbox.add_records((own,))
        self._publish_plan()

    def _wall_ms(self) -> int:
        return int(self._clock.wall_seconds() * 1000)

    def _publish_plan(self) -> None:
        view = self._view
        plan = build_plan(view.own, view.records, self._listed_entries)
        self._view = evolve(view, plan=plan, revision=view.revision + 1)

    def _has_expired_marks(self, now: float) -> bool:
        limits = (*self._suspected_until.values(), *self._unfit_until.values())
        return min(limits, default=now) < now

    def _publish_health(self) -> None:
        now = self._clock.monotonic_seconds()
        self._suspected_until = _unexpired(self._suspected_until, now)
        self._unfit_until = _unexpired(self._unfit_until, now)
        suspected = frozenset(self._suspected_until)
        unfit_watchers = (suspected | set(self._unfit_until)) - {
            self._view.own.instance
        }
        unlisted = tuple(
            sorted(
                name
                for name, polls in self._missed_polls.items()
                if polls >= MISSED_POLLS_BEFORE_UNLISTED
                and name != self._view.own.instance
            )
        )
        self._view = evolve(
            self._view,
            suspected=suspected,
            unfit_watchers=unfit_watchers,
            unlisted=unlisted,
        )


def _listed_record(item: ListedInstance) -> MemberRecord:
    return MemberRecord(
        instance=item.instance,
        incarnation=0,
        state=MemberState.LIVE,
        address=item.address,
        peer_address=item.peer_address or "",
        failure_domain=item.failure_domain,
    )


def _unexpired(until: dict[str, float], now: float) -> dict[str, float]:
    return {name: limit for name, limit in until.items() if limit > now}
