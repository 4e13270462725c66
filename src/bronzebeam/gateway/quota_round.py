"""One round of questions for tokens of an account, to one instance after the other."""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from attrs import define

from bronzebeam.gateway.fleet_state import FleetState
from bronzebeam.gateway.quota_message import QuotaMessage
from bronzebeam.routing.quotas import QuotaAsk, QuotaGrant
from bronzebeam.routing.silent_peers import SilentPeers

ANSWER_TIMEOUT_SECONDS: Final = 0.025  # many round trips
LATE: Final = "late"
OWNER: Final = "owner"
DEPUTY: Final = "deputy"


@define(kw_only=True, eq=False, repr=False)
class QuotaLinks:
    """
    What questions are sent with.

    :ivar answer: answers a question as this instance, without a message.
    :ivar boot_seconds: the clock by which tokens expire.
    :ivar count_ask: called with the result of each message.
    """

    state: FleetState
    silent: SilentPeers
    answer: Callable[[QuotaAsk], QuotaGrant]
    boot_seconds: Callable[[], float]
    count_ask: Callable[[str], None]

    def message(
        self, name: str, ask: QuotaAsk, handler: "QuotaRound | None"
    ) -> QuotaMessage | None:
        """Return a message to a peer; None if it is not known."""
        peer = self.state.peers.get(name)
        if peer is None:
            return None
        return QuotaMessage(
            handler=handler or _NoHandler(),
            peer=name,
            # A question must not wait for the end of a delegation.
            pool=peer.pool if peer.pool.idle else peer.control_pool,
            ask=ask,
            asked_at_seconds=self.boot_seconds(),
        )


class QuotaRoundHandler(Protocol):
    """Uses the answers of a round."""

    def question(self) -> QuotaAsk:
        """Return what to ask for now."""

    def on_answer(
        self,
        instance: str,
        asked_at_seconds: float,
        grant: QuotaGrant,
        *,
        is_late: bool,
    ) -> bool:
        """Use an answer; return whether no other instance has to be asked."""

    def are_requests_waiting(self, *, may_admit_alone: bool) -> bool:
        """
        Whether requests wait for tokens.

        :param may_admit_alone: admit first what this instance may by itself.
        """

    def on_round_failed(self) -> None:
        """Handle that no instance has answered for all waiting requests."""


@define(kw_only=True, eq=False, repr=False)
class QuotaRound:
    """
    Questions to the instances that may grant tokens, until one has answered for all.

    :ivar candidates: instances to ask, the first in rank first.
    :ivar deadline_at_seconds: monotonic time at which the round ends.
    :ivar peer_answers: number of peers that have answered.
    :ivar _overdue_count: messages whose answer may still come.
    :ivar _is_over: all instances were asked, and only late answers may come.
    """

    links: QuotaLinks
    handler: QuotaRoundHandler
    candidates: tuple[str, ...]
    deadline_at_seconds: float
    peer_answers: int = 0
    _position: int = 0
    _overdue_count: int = 0
    _is_over: bool = False
    _message: QuotaMessage | None = None
    _timer: asyncio.TimerHandle | None = None

    def ask_next(self) -> None:
        """Ask the next instance that may answer; fail if there is none."""
        state = self.links.state
        while self._position < len(self.candidates):
            now = state.loop.time()
            if now >= self.deadline_at_seconds:
                break
            name = self.candidates[self._position]
            self._position += 1
            ask = self.handler.question()
            if name == state.instance:
                asked_at = self.links.boot_seconds()
                grant = self.links.answer(ask)
                if self.handler.on_answer(name, asked_at, grant, is_late=False):
                    return
                continue
            if self.links.silent.is_silent(name, now):
                continue
            message = self.links.message(name, ask, self)
            if message is not None:
                self._send(message, now)
                return
        self._wait_for_late_answers()

    def _wait_for_late_answers(self) -> None:
        """End the round, unless an answer may still come for requests that wait."""
        self._is_over = True
        loop = self.links.state.loop
        if (
            self._overdue_count
            and loop.time() < self.deadline_at_seconds
            and self.handler.are_requests_waiting(may_admit_alone=not self.peer_answers)
        ):
            self._timer = loop.call_at(self.deadline_at_seconds, self._on_deadline)
        else:
            self.handler.on_round_failed()

    def _on_deadline(self) -> None:
        self._timer = None
        self.handler.on_round_failed()

    def _send(self, message: QuotaMessage, now_seconds: float) -> None:
        self._message = message
        self._timer = self.links.state.loop.call_at(
            min(now_seconds + ANSWER_TIMEOUT_SECONDS, self.deadline_at_seconds),
            self._on_timeout,
            message,
        )
        message.send()

    def _on_timeout(self, message: QuotaMessage) -> None:
        if self._message is not message:
            return
        if message.expire():
            self._overdue_count += 1
        self._end_message()
        state = self.links.state
        self.links.count_ask(LATE)
        self.links.silent.record_unanswered(
            message.peer, state.loop.time(), live_count=state.peers.live_count
        )
        self.ask_next()

    def on_quota_answer(self, message: QuotaMessage, grant: QuotaGrant) -> None:
        """Use the tokens that a peer has granted, also if the answer is late."""
        self.links.silent.record_answer(message.peer)
        is_late = self._message is not message
        self.peer_answers += 1
        if is_late:
            self._overdue_count -= 1
        else:
            self._end_message()
            self.links.count_ask(OWNER if grant.as_owner else DEPUTY)
        is_done = self.handler.on_answer(
            message.peer, message.asked_at_seconds, grant, is_late=is_late
        )
        if not is_late and not is_done:
            self.ask_next()
        elif is_late and self._is_waiting_for_late():
            self._end_message()
            self._wait_for_late_answers()

    def on_quota_failure(self, message: QuotaMessage, cause: str) -> None:
        """Ask the next instance, since this one will not answer."""
        self.links.count_ask(cause)
        if self._message is message:
            self._end_message()
            self.ask_next()
            return
        self._overdue_count -= 1
        if self._is_waiting_for_late():
            self._end_message()
            self._wait_for_late_answers()

    def _is_waiting_for_late(self) -> bool:
        return self._is_over and self._timer is not None

    def _end_message(self) -> None:
        self._message = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _NoHandler:
    """Ignores the end of a message that returns tokens; if lost, they stay spent."""

    def on_quota_answer(self, message: QuotaMessage, grant: QuotaGrant) -> None:
        pass

    def on_quota_failure(self, message: QuotaMessage, cause: str) -> None:
        pass
