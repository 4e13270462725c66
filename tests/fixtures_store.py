"""An in-memory store whose calls fail as planned by the test, in virtual time."""

from collections.abc import Awaitable, Callable, Iterable
from enum import Enum
from typing import Any, TypeVar

import anyio
import trio
from trio.testing import MockClock

from bronzebeam.clock import SystemClock
from bronzebeam.documents.model import DOCUMENT_KEY_PREFIX
from bronzebeam.standins.store_state import StoreState
from bronzebeam.transport.store import (
    Conflict,
    StoredValue,
    StoreUnavailable,
    Written,
)

ResultT = TypeVar("ResultT")

CALL_DURATION_SECONDS = 0.1


class CallBehavior(Enum):
    """How the store behaves on one call."""

    ANSWER = "answer"
    REFUSE = "refuse"
    LOSE_REPLY = "lose_reply"
    CRASH_BEFORE = "crash_before"
    CRASH_AFTER = "crash_after"
    SLOW = "slow"


class CrashError(Exception):
    """Simulates a crash of the client's process during a call."""


class MemoryStore:
    """
    One client's view of a `StoreState`; satisfies `Store`.

    :ivar planned_behaviors: behavior of the next calls; later calls are answered.
    :ivar accepted: documents written, in order, shared by all views of a state.
    """

    def __init__(
        self, *, state: StoreState | None = None, accepted: list[Any] | None = None
    ) -> None:
        self.state = state or StoreState(clock=SystemClock())
        self.accepted: list[Any] = [] if accepted is None else accepted
        self.planned_behaviors: list[CallBehavior] = []

    def view(self, planned_behaviors: Iterable[CallBehavior] = ()) -> "MemoryStore":
        """Return another client's view of the same store."""
        view = MemoryStore(state=self.state, accepted=self.accepted)
        view.planned_behaviors = list(planned_behaviors)
        return view

    async def get(self, key: str) -> StoredValue | None:
        return await self._call(lambda: self.state.get(key))

    async def compare_and_swap(
        self, *, key: str, value: Any, expected: int, lease_id: str | None = None
    ) -> Written | Conflict:
        def apply() -> Written | Conflict:
            result = self.state.compare_and_swap(
                key=key, value=value, expected=expected, lease_id=lease_id
            )
            if isinstance(result, Written) and key.startswith(DOCUMENT_KEY_PREFIX):
                self.accepted.append(value)
            return result

        return await self._call(apply)

    async def watch(
        self, *, key: str, after: int, wait_seconds: float
    ) -> StoredValue | None:
        return await self.state.watch(key=key, after=after, wait_seconds=wait_seconds)

    async def grant_lease(self, *, ttl_seconds: float) -> str:
        return await self._call(lambda: self.state.grant_lease(ttl_seconds=ttl_seconds))

    async def keep_lease(self, *, lease_id: str) -> bool:
        return await self._call(lambda: self.state.keep_lease(lease_id))

    async def _call(self, apply: Callable[[], ResultT]) -> ResultT:
        behavior = (
            self.planned_behaviors.pop(0)
            if self.planned_behaviors
            else CallBehavior.ANSWER
        )
        await anyio.sleep(
            CALL_DURATION_SECONDS * (5 if behavior is CallBehavior.SLOW else 1)
        )
        if behavior is CallBehavior.REFUSE:
            raise StoreUnavailable("refused by plan")
        if behavior is CallBehavior.CRASH_BEFORE:
            raise CrashError
        result = apply()
        if behavior is CallBehavior.LOSE_REPLY:
            raise StoreUnavailable("reply lost by plan")
        if behavior is CallBehavior.CRASH_AFTER:
            raise CrashError
        return result


def run_in_virtual_time(main: Callable[[], Awaitable[None]]) -> None:
    """Run `main` in virtual time."""
    trio.run(main, clock=MockClock(autojump_threshold=0))
