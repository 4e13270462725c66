"""An account's quota as one instance sees it, for operators; nothing is changed."""

import math
from typing import Any, Final

from attrs import define

from bronzebeam.gateway.account_queue import GrantedBy, QueueStatus
from bronzebeam.gateway.quota_asker import QuotaAsker
from bronzebeam.routing.accounts import Account
from bronzebeam.routing.quota_grants import deputy_share
from bronzebeam.routing.quota_members import QuotaMembers, Standing
from bronzebeam.units import MS_PER_SECOND

OWNER: Final = "owner"
DEPUTY: Final = "deputy"
NO_ROLE: Final = "none"
# Why this instance is not the owner.
NOT_FIRST: Final = "not_first_in_rank"
NO_CONTACT: Final = "no_contact"
NO_LEASE: Final = "no_lease"
REGISTERED_TOO_SHORT: Final = "registered_too_short"
UNREGISTERED: Final = "not_registered"


@define(kw_only=True, eq=False, repr=False)
class QuotaExplainer:
    """
    Explains who grants tokens of an account, and whether it is refused here now.

    Takes no token and sends no message.
    """

    asker: QuotaAsker

    def describe(self, account: Account | None) -> dict[str, Any]:
        """Describe the quota of an account; None if the account is not known."""
        if account is None or not account.is_limited:
            return {"is_limited": None if account is None else False}
        asker = self.asker
        now = asker.boot_seconds()
        members = asker.state.quota_members.copy_for(account.name)
        standing = members.standing(account.name, now, asker.registration)
        grant = asker.peek_grant(account, standing)
        status = asker.peek_queue(account)
        refused_by = self._refused_by(account, members, standing)
        return {
            "is_limited": True,
            "rate_per_second": account.rate_per_second,
            "burst_count": account.burst_count,
            "asked": list(members.candidates(account.name, now)),
            "left_out": self._left_out(members.candidates(account.name, now)),
            **self._describe_standing(members, standing, now),
            "has_token_to_grant": grant.granted_count > 0,
            "token_to_grant_ms": _ms(grant.retry_after_seconds),
            **_describe_queue(status, now),
            "refuses_as": None if refused_by is None else refused_by.value,
        }

    def would_refuse(self, account: Account) -> bool:
        """Whether this instance refuses the next request without a message."""
        members = self.asker.state.quota_members.copy_for(account.name)
        now = self.asker.boot_seconds()
        standing = members.standing(account.name, now, self.asker.registration)
        return self._refused_by(account, members, standing) is not None

    def _refused_by(
        self, account: Account, members: QuotaMembers, standing: Standing
    ) -> GrantedBy | None:
        """
        Return as what this instance refuses the next request, as `AccountQueue` does.

        :return: None if it does not, or only after it has asked a peer.
        """
        asker = self.asker
        now = asker.boot_seconds()
        status = asker.peek_queue(account)
        if status.waiting_count or status.tokens.held_count(now):
            return None
        if now < status.tokens.refused_until_seconds:
            return status.refused_by
        if status.is_asking:
            return None
        for name in members.candidates(account.name, now):
            if name != asker.state.instance:
                if asker.may_message(name):
                    return None
                continue
            grant = asker.peek_grant(account, standing)
            if grant.granted_count:
                return None
            if grant.as_owner:
                return GrantedBy.OWNER
        if asker.peek_turn_seconds(account, status.tokens) > 0.0:
            return GrantedBy.ALONE
        return None

    def _left_out(self, names: tuple[str, ...]) -> list[str]:
        """Return the instances that no question is sent to at present."""
        own = self.asker.state.instance
        return [
            name for name in names if name != own and not self.asker.may_message(name)
        ]

    def _describe_standing(
        self, members: QuotaMembers, standing: Standing, now_seconds: float
    ) -> dict[str, Any]:
        registration = self.asker.registration
        share = deputy_share(standing)
        is_owner = standing.owner_since_seconds is not None
        registered_at = registration.registered_at_seconds
        renewed_seconds = now_seconds - registration.renewed_at_seconds
        return {
            "role": OWNER if is_owner else DEPUTY if share else NO_ROLE,
            "not_owner_because": [] if is_owner else self._reasons(standing),
            "rank": standing.rank,
            "deputy_share": 0.0 if is_owner else share,
            "lease_left_ms": _ms(
                max(0.0, registration.lease_seconds - renewed_seconds)
            ),
            "contact_age_ms": _ms(members.contact_age_seconds(now_seconds)),
            "registered_ms": (
                None if registered_at is None else _ms(now_seconds - registered_at)
            ),
            "may_own_after_ms": _ms(
                max(0.0, registration.owner_from_seconds() - now_seconds)
            ),
        }

    def _reasons(self, standing: Standing) -> list[str]:
        is_registered = self.asker.registration.registered_at_seconds is not None
        reasons = (
            (NOT_FIRST, standing.rank != 0),
            (NO_CONTACT, not standing.in_contact),
            (UNREGISTERED, not is_registered),
            (NO_LEASE, is_registered and not standing.is_leased),
            (REGISTERED_TOO_SHORT, is_registered and not standing.is_settled),
        )
        return [name for name, applies in reasons if applies]


def _describe_queue(status: QueueStatus, now_seconds: float) -> dict[str, Any]:
    refused_seconds = max(0.0, status.tokens.refused_until_seconds - now_seconds)
    held_count = status.tokens.held_count(now_seconds)
    return {
        "held_count": held_count,
        "held_granted_by": (status.granted_by or None) if held_count else None,
        "waiting_count": status.waiting_count,
        "is_asking": status.is_asking,
        "refused_ms": _ms(refused_seconds),
        "refused_by": status.refused_by.value if refused_seconds else None,
    }


def _ms(seconds: float) -> int | None:
    """Return milliseconds; None for a time that is not known."""
    return None if math.isinf(seconds) else round(seconds * MS_PER_SECOND)
