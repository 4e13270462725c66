"""Load of a soak run: searches, finds, and bookings with resends."""

import random
import time
from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from bronzebeam.bench.documents import BOOK_PATH, FIND_PATH, SEARCH_PATH
from bronzebeam.bench.history import request_row
from bronzebeam.bench.load import Caller, CallerResponse, new_idempotency_key
from bronzebeam.bench.soak_state import SoakState

SEARCHES_PER_SECOND: Final = 12.0
FINDS_PER_SECOND: Final = 6.0
BOOKINGS_PER_SECOND: Final = 8.0
DEADLINE_MS: Final = 800
EMPTY_SHARD_SHARE: Final = 0.2
CONCURRENT_RESEND_SHARE: Final = 0.25
RESEND_AFTER_ANSWER_SHARE: Final = 0.25
MAX_BOOKING_ATTEMPTS: Final = 4
RESEND_DELAY_SECONDS: Final = (0.02, 1.5)
FINAL_RESPONSES_TIMEOUT_SECONDS: Final = 15.0


@define(kw_only=True, eq=False)
class _Booking:
    """
    One booking and its resends.

    :ivar key: idempotency key of the caller, or the key that an entry offered.
    :ivar is_known_not_run: every response so far said that the booking did not run, so
        that another key may be used without the risk of a second run.
    """

    token: str
    key: str
    is_known_not_run: bool = True


@define(kw_only=True, eq=False)
class SoakLoad:
    """
    Sends searches, finds and bookings at random intervals with fixed mean rates.

    :ivar stop_requested: set when no new requests are to be sent.
    """

    state: SoakState
    rng: random.Random
    stop_requested: anyio.Event = field(factory=anyio.Event)
    _caller: Caller = field(init=False)
    _token_count: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._caller = Caller(addresses=self._addresses, rng=self.rng)

    def _addresses(self) -> list[str]:
        return [entry.caller_address for entry in self.state.balanced_entries]

    async def run(self) -> None:
        """Send requests until a stop is requested, then wait for pending responses."""
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_after_timeout, scope)
                for rate, send in (
                    (SEARCHES_PER_SECOND, self._search),
                    (FINDS_PER_SECOND, self._find),
                    (BOOKINGS_PER_SECOND, self._book),
                ):
                    group.start_soon(self._send_periodically, group, rate, send)

    async def _cancel_after_timeout(self, scope: anyio.CancelScope) -> None:
        await self.stop_requested.wait()
        scope.deadline = anyio.current_time() + FINAL_RESPONSES_TIMEOUT_SECONDS

    async def _send_periodically(
        self,
        group: TaskGroup,
        rate: float,
        send: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        while not self.stop_requested.is_set():
            await anyio.sleep(self.rng.expovariate(rate))
            group.start_soon(send)

    async def _search(self) -> None:
        empty = [
            shard
            for shard in range(self.state.index.shard_count)
            if self.rng.random() < EMPTY_SHARD_SHARE
        ]
        payload = {"token": self._new_token("s"), "empty_shards": empty}
        await self._post(SEARCH_PATH, payload)

    async def _find(self) -> None:
        await self._post(FIND_PATH, {"token": self._new_token("f")})

    async def _book(self) -> None:
        key = new_idempotency_key(now_ms=time.time_ns() // 1_000_000, rng=self.rng)
        booking = _Booking(token=key, key=key)
        async with anyio.create_task_group() as group:
            if self.rng.random() < CONCURRENT_RESEND_SHARE:
                booking.is_known_not_run = False
                group.start_soon(self._send_booking, booking)
            for _ in range(MAX_BOOKING_ATTEMPTS):
                if await self._send_booking(booking) == "answered":
                    break
                await anyio.sleep(self.rng.uniform(*RESEND_DELAY_SECONDS))
            if self.rng.random() < RESEND_AFTER_ANSWER_SHARE:
                await anyio.sleep(self.rng.uniform(*RESEND_DELAY_SECONDS))
                await self._send_booking(booking)

    async def _send_booking(self, booking: _Booking) -> str:
        """Send a booking once; use an offered key only if the booking has not run."""
        response = await self._post(BOOK_PATH, {"token": booking.token}, booking.key)
        if response.outcome != "not_run":
            booking.is_known_not_run = False
        offered = response.body.get("offered_key")
        if booking.is_known_not_run and offered:
            booking.key = offered
        return response.outcome

    async def _post(
        self, path: str, payload: dict[str, Any], key: str | None = None
    ) -> CallerResponse:
        entry = self.rng.choice(self.state.balanced_entries)
        response = await self._caller.post(
            path,
            payload,
            deadline_ms=DEADLINE_MS,
            key=key,
            address=entry.caller_address,
        )
        row = request_row(
            response,
            entry=entry.name,
            token=payload["token"],
            deadline_ms=DEADLINE_MS,
            empty_shards=payload.get("empty_shards", ()),
        )
        self.state.requests.append(row)
        return response

    def _new_token(self, prefix: str) -> str:
        self._token_count += 1
        return f"{prefix}-{self._token_count}"
