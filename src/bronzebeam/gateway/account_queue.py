"""The requests of one limited account that wait for tokens."""

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Final

from attrs import define, field, frozen

from bronzebeam.gateway.quota_round import QuotaLinks, QuotaRound
from bronzebeam.routing.accounts import Account
from bronzebeam.routing.quota_tokens import AccountTokens
from bronzebeam.routing.quotas import QuotaAsk, QuotaGrant

MAX_WAIT_SECONDS: Final = 0.06  # of a request; a search may take no longer
# The limit may be raised meanwhile, or another instance become the owner.
MAX_OWNER_PAUSE_SECONDS: Final = 1.0
# After a refusal by deputies; the owner may be back at any time.
MAX_DEPUTY_PAUSE_SECONDS: Final = 0.1
MAX_ALONE_RETRY_SECONDS: Final = 1.0  # peers may answer before there is a turn
# Leaves an unused token most of its lifetime to be used by the next request.
RETURN_DELAY_SECONDS: Final = 0.1


class GrantedBy(Enum):
    """Who decides about the tokens of an account."""

    OWNER = "owner"
    DEPUTY = "deputy"
    ALONE = "alone"


@frozen(kw_only=True)
class QuotaRefusal:
    """
    Why a request got no token.

    :ivar retry_after_seconds: time until there may be one.
    :ivar granted_count: tokens that the last question brought, for other requests.
    """

    role: GrantedBy
    retry_after_seconds: float
    granted_count: int


@define(kw_only=True, eq=False, repr=False)
class TokenRequest:
    """
    A request that needs a token.

    :ivar on_granted: called with the boot time at which the token expires.
    :ivar cancelled: the request needs no token any more.
    """

    on_granted: Callable[[float, GrantedBy], None]
    on_refused: Callable[[QuotaRefusal], None]
    joined_at_seconds: float = 0.0
    cancelled: bool = False


@frozen(kw_only=True)
class QueueStatus:
    """
    What the next request of an account meets at an instance.

    :ivar tokens: a copy of the tokens that are held here.
    :ivar granted_by: the owner that has granted them; empty if a deputy has.
    :ivar refused_by: who has decided last that there is no token.
    :ivar is_asking: a question is in flight.
    """

    tokens: AccountTokens
    granted_by: str = ""
    refused_by: GrantedBy = GrantedBy.OWNER
    waiting_count: int = 0
    is_asking: bool = False


@define(kw_only=True, eq=False, repr=False)
class AccountQueue:
    """
    The tokens of one account at this instance, and the requests that wait for some.

    At most one question is in flight; requests that come meanwhile wait for the next.

    :ivar turn_seconds: returns the time until this instance may admit a request of the
        account by itself.
    :ivar _granted_by: the owner that has granted the held tokens; empty if a deputy
        has.
    :ivar _expected_at_seconds: boot time at which there may be a token again.
    """

    account: Account
    links: QuotaLinks
    turn_seconds: Callable[["AccountQueue"], float]
    tokens: AccountTokens = field(factory=AccountTokens)
    _waiting: deque[TokenRequest] = field(factory=deque)
    _round: QuotaRound | None = None
    _granted_by: str = ""
    _role: GrantedBy = GrantedBy.OWNER
    _refused_by: GrantedBy = GrantedBy.OWNER
    _expected_at_seconds: float = 0.0
    _retry_seconds: float = 0.0
    _granted_count: int = 0
    _alone_seconds: float = 0.0
    _is_return_due: bool = False

    @property
    def is_in_use(self) -> bool:
        """Whether requests wait or a question is in flight."""
        return bool(self._waiting) or self._round is not None

    def status(self) -> QueueStatus:
        """Return what the next request meets, for explanations."""
        return QueueStatus(
            tokens=self.tokens.copy(),
            granted_by=self._granted_by,
            refused_by=self._refused_by,
            waiting_count=self._waiting_count(),
            is_asking=self._round is not None,
        )

    def request(self, request: TokenRequest) -> None:
        """Get a token; the request is notified at once, or within 60 ms."""
        if not self._waiting:
            now = self.links.boot_seconds()
            expires_at = self.tokens.take(now)
            if expires_at is not None:
                request.on_granted(expires_at, self._role)
                return
            if now < self.tokens.refused_until_seconds:
                request.on_refused(
                    self._refusal(self._refused_by, self._expected_at_seconds - now)
                )
                return
        request.joined_at_seconds = self.links.state.loop.time()
        self._waiting.append(request)
        if self._round is None:
            self._start_round()

    def give_back(self, expires_at_seconds: float) -> None:
        """Take back the token of a request that no replica got."""
        self.tokens.add(1, expires_at_seconds=expires_at_seconds)
        self._schedule_return()

    def question(self) -> QuotaAsk:
        """Return what to ask for now."""
        return self.tokens.ask(
            self.account.name,
            waiting_count=self._waiting_count(),
            now_seconds=self.links.boot_seconds(),
        )

    def on_answer(
        self,
        instance: str,
        asked_at_seconds: float,
        grant: QuotaGrant,
        *,
        is_late: bool,
    ) -> bool:
        """Use an answer; return whether no other instance has to be asked."""
        if grant.granted_count:
            self._granted_by = instance if grant.as_owner else ""
            self._role = GrantedBy.OWNER if grant.as_owner else GrantedBy.DEPUTY
            self.tokens.add(
                grant.granted_count,
                expires_at_seconds=asked_at_seconds + grant.lifetime_seconds,
            )
        self._serve()
        if is_late:
            # Requests that wait are decided on when the round ends.
            if not self._waiting:
                self._schedule_return()
            return False
        self._granted_count += grant.granted_count
        retry_seconds = grant.retry_after_seconds
        if not retry_seconds:
            self._end_round()
            return True
        # That of the first deputy with a token, if there is no owner.
        self._retry_seconds = min(self._retry_seconds or retry_seconds, retry_seconds)
        if not grant.as_owner:
            return False
        self._refuse_waiting(
            GrantedBy.OWNER, retry_seconds, max_seconds=MAX_OWNER_PAUSE_SECONDS
        )
        self._end_round()
        return True

    def are_requests_waiting(self, *, may_admit_alone: bool) -> bool:
        """
        Whether requests wait for tokens.

        :param may_admit_alone: admit some first by this instance's own turns.
        """
        while self._waiting:
            if self._waiting[0].cancelled:
                self._waiting.popleft()
                continue
            if not may_admit_alone:
                return True
            self._alone_seconds = self.turn_seconds(self)
            if self._alone_seconds > 0.0:
                return True
            self.tokens.use_turn()
            # It was not granted by an owner, so it can't be given back.
            self._waiting.popleft().on_granted(
                self.links.boot_seconds(), GrantedBy.ALONE
            )
        return False

    def on_round_failed(self) -> None:
        """Refuse the waiting requests, or admit some by this instance's own turns."""
        assert self._round is not None
        if self._round.peer_answers:
            self._refuse_waiting(
                GrantedBy.DEPUTY,
                self._retry_seconds or MAX_DEPUTY_PAUSE_SECONDS,
                max_seconds=MAX_DEPUTY_PAUSE_SECONDS,
            )
        elif self.are_requests_waiting(may_admit_alone=True):
            self._refuse_waiting(
                GrantedBy.ALONE,
                min(self._alone_seconds, MAX_ALONE_RETRY_SECONDS),
                max_seconds=0.0,
            )
        self._end_round()

    def _start_round(self) -> None:
        while self._waiting and self._waiting[0].cancelled:
            self._waiting.popleft()
        if not self._waiting:
            return
        links = self.links
        self._retry_seconds = 0.0
        self._granted_count = 0
        self._round = QuotaRound(
            links=links,
            handler=self,
            candidates=links.state.quota_members.candidates(
                self.account.name, links.boot_seconds()
            ),
            deadline_at_seconds=self._waiting[0].joined_at_seconds + MAX_WAIT_SECONDS,
        )
        self._round.ask_next()

    def _end_round(self) -> None:
        """Ask again for requests that have come since the question was sent."""
        self._round = None
        if self._waiting_count():
            self.links.state.loop.call_soon(self._ask_again)

    def _ask_again(self) -> None:
        if self._round is None:
            self._serve()
            self._start_round()

    def _serve(self) -> None:
        """Give the held tokens to the waiting requests, the oldest first."""
        now = self.links.boot_seconds()
        while self._waiting:
            if self._waiting[0].cancelled:
                self._waiting.popleft()
                continue
            expires_at = self.tokens.take(now)
            if expires_at is None:
                return
            self._waiting.popleft().on_granted(expires_at, self._role)

    def _refuse_waiting(
        self, role: GrantedBy, retry_seconds: float, *, max_seconds: float
    ) -> None:
        """Refuse all waiting requests, and those that come until a time."""
        now = self.links.boot_seconds()
        self._refused_by = role
        self._expected_at_seconds = now + retry_seconds
        self.tokens.refused_until_seconds = now + min(retry_seconds, max_seconds)
        refusal = self._refusal(role, retry_seconds)
        waiting, self._waiting = self._waiting, deque()
        for request in waiting:
            if not request.cancelled:
                request.on_refused(refusal)

    def _refusal(self, role: GrantedBy, retry_seconds: float) -> QuotaRefusal:
        return QuotaRefusal(
            role=role,
            retry_after_seconds=retry_seconds,
            granted_count=self._granted_count,
        )

    def _waiting_count(self) -> int:
        return sum(1 for item in self._waiting if not item.cancelled)

    def _schedule_return(self) -> None:
        if not self._is_return_due:
            self._is_return_due = True
            self.links.state.loop.call_later(RETURN_DELAY_SECONDS, self._return)

    def _return(self) -> None:
        """Return tokens to the owner that granted them, if it still is the owner."""
        self._is_return_due = False
        links = self.links
        now = links.boot_seconds()
        name, owner = self.account.name, self._granted_by
        candidates = links.state.quota_members.candidates(name, now)
        if self._waiting or candidates[0] != owner:
            return
        count = self.tokens.take_unused(now)
        if not count:
            return
        ask = QuotaAsk(
            account=name, wanted_count=0, waiting_count=0, returned_count=count
        )
        if owner == links.state.instance:
            links.answer(ask)
            return
        message = links.message(owner, ask, None)
        if message is not None:
            message.send()
