"""Whether all other instances know of one that has just registered."""

import math

from attrs import define, field

from bronzebeam.routing.quota_members import QuotaMembers, RegistrationTimes


@define(kw_only=True, eq=False)
class KnownBy:
    """
    The members that have stated that they count this instance as live.

    Answers the start of a whole fleet, where no instance has been registered for long
    enough, and the addition of one. All members of a view that is more recent than the
    registration are asked whether they know this instance, and once they do, to make
    way for it. Then none of them acts as owner in its place, and those that join later
    find it registered. Former owners go on until all are known to answer.

    :ivar makes_way: members are asked to make way.
    """

    makes_way: bool = field(default=False, init=False)
    _names: set[str] = field(factory=set, init=False)
    _registered_at_seconds: float = field(default=-math.inf, init=False)

    def members_to_ask(
        self, members: QuotaMembers, registration: RegistrationTimes, now_seconds: float
    ) -> list[str]:
        """Return who has not stated it yet; record in `registration` that all have."""
        registered_at = registration.registered_at_seconds
        if registered_at is None or now_seconds >= registration.owner_from_seconds():
            return []
        if registered_at != self._registered_at_seconds:
            self._registered_at_seconds = registered_at
            self._names.clear()
            self.makes_way = False
        if members.confirmed_at_seconds < registered_at:
            return []
        missing = [name for name in members.others() if name not in self._names]
        if not missing and self.makes_way:
            registration.known_at_seconds = now_seconds
        elif not missing:
            self.makes_way = True
            self._names.clear()
            missing = members.others()
            if not missing:
                registration.known_at_seconds = now_seconds
        return missing

    def record(
        self, name: str, *, registered_at_seconds: float, makes_way: bool
    ) -> None:
        """
        Record that a member knows this instance, or makes way for it.

        :param registered_at_seconds: the registration that it was asked about.
        :param makes_way: it was asked to make way.
        """
        if (
            registered_at_seconds == self._registered_at_seconds
            and makes_way == self.makes_way
        ):
            self._names.add(name)
