"""Registrations of replicas in a store that has come back from an older copy."""

from collections.abc import Mapping

from attrs import define, field

from bronzebeam.gateway.records import ReplicaRecord
from bronzebeam.gateway.replica_set import ReplicaSet
from bronzebeam.routing.older_copy import (
    DOUBT_MARGIN_SECONDS,
    LOST_REGISTRATION_GRACE_SECONDS,
    KnownState,
    is_doubtful,
)


@define(kw_only=True, eq=False, repr=False)
class OlderCopy:
    """
    Applies an older copy of the store to the replicas.

    Such a copy may list replicas as ready that have left since, and lack replicas that
    have started since. A replica known to be leaving keeps leaving. One known to be
    removed is believed only once it stays registered, and one that is missing stays in
    use until it should have registered again.

    :ivar registration_timeout_seconds: time after which the store drops a registration
        that was not renewed.
    :ivar _doubtful: registrations of removed replicas, and the monotonic time from
        which they are believed.
    :ivar _unconfirmed: missing replicas, and the monotonic time at which they count as
        removed.
    """

    replicas: ReplicaSet
    registration_timeout_seconds: float
    _doubtful: dict[str, tuple[ReplicaRecord, float]] = field(factory=dict)
    _unconfirmed: dict[str, float] = field(factory=dict)

    def apply(
        self, records: Mapping[str, ReplicaRecord], *, keep_missing: bool
    ) -> None:
        """
        Apply all registrations of the store.

        :param keep_missing: this is the first read since the store came back.
        """
        now_seconds = self.replicas.loop.time()
        for name, record in records.items():
            known = self.replicas.last_known(name)
            if known is None or not is_doubtful(
                record.age_order, known=known[0].age_order, known_state=known[1]
            ):
                self.confirm(name)
                self.replicas.put(record)
                continue
            self.replicas.log.event(
                "older_registration_ignored",
                replica=name,
                service=record.service,
                known_as=known[1].value,
                sequence=record.sequence,
                known_sequence=known[0].sequence,
            )
            if known[1] is KnownState.REMOVED:
                believed_at = (
                    now_seconds
                    + self.registration_timeout_seconds
                    + DOUBT_MARGIN_SECONDS
                )
                self._doubtful.setdefault(name, (record, believed_at))
        for name in self.replicas.names - records.keys() - self._unconfirmed.keys():
            if keep_missing:
                removed_at = now_seconds + LOST_REGISTRATION_GRACE_SECONDS
                self._unconfirmed[name] = removed_at
            else:
                self.replicas.mark_removed(name)
        for name in self._doubtful.keys() - records.keys():
            del self._doubtful[name]

    def registered(self) -> list[ReplicaRecord]:
        """Return the registrations in the store, whether they are believed or not."""
        records = [
            record
            for record in self.replicas.registered()
            if record.replica not in self._unconfirmed
        ]
        return records + [record for record, _ in self._doubtful.values()]

    def confirm(self, name: str) -> None:
        """Record that the store has reported the replica's present state."""
        self._doubtful.pop(name, None)
        self._unconfirmed.pop(name, None)

    def settle(self, now_seconds: float) -> None:
        """Decide on the replicas that have been in doubt for long enough."""
        for name, (record, believed_at) in list(self._doubtful.items()):
            if now_seconds >= believed_at:
                self.confirm(name)
                self.replicas.put(record)
        for name, removed_at in list(self._unconfirmed.items()):
            if now_seconds >= removed_at:
                self.confirm(name)
                self.replicas.mark_removed(name)
