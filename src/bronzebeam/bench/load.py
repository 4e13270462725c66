"""Load generator: callers that send requests to entries."""

import random
import uuid
from collections.abc import Callable, Sequence
from typing import Any, Final, Literal

import anyio
import httpcore
import orjson
from attrs import define, field, frozen

from bronzebeam.transport.channel import Channel, ChannelClosed, HttpcoreChannel

RESPONSE_GRACE_SECONDS: Final = 1.0
ExchangeResult = Literal["whole", "malformed", "refused", "broken", "timeout"]
JSON_HEADER: Final = (b"content-type", b"application/json")


@frozen(kw_only=True)
class CallerResponse:
    """
    The result of one request, as the caller observed it.

    :ivar status: HTTP status; 0 without a response.
    :ivar started_seconds: monotonic time at which the request was due.
    :ivar address: address of the entry that the request was sent to.
    :ivar exchange_result: `whole` for a valid response, `malformed` for one that is
        not valid JSON, `refused` if no connection could be opened, `broken` if the
        connection closed before the response, `timeout` if no response arrived.
    """

    status: int
    body: dict[str, Any]
    started_seconds: float
    latency_ms: float
    path: str = ""
    key: str | None = None
    address: str = ""
    exchange_result: ExchangeResult = "whole"

    @property
    def outcome(self) -> str:
        return str(self.body.get("outcome", "no_answer"))

    @property
    def is_complete(self) -> bool:
        coverage = self.body.get("coverage")
        return self.outcome == "answered" and (
            coverage is None or bool(coverage["complete"])
        )


@define(kw_only=True, eq=False)
class Caller:
    """
    Sends requests to one of several entries over persistent connections.

    :ivar addresses: returns the caller-facing addresses of the entries; called for
        each request.
    """

    addresses: Callable[[], Sequence[str]]
    rng: random.Random = field(factory=lambda: random.Random(1))
    _idle: dict[str, list[Channel]] = field(factory=dict, init=False)

    async def post(
        self,
        path: str,
        payload: Any,
        *,
        deadline_ms: int,
        key: str | None = None,
        attempt: int | None = None,
        class_name: str | None = None,
        due_seconds: float | None = None,
        address: str | None = None,
    ) -> CallerResponse:
        """
        Send one request and wait for the response until shortly after the deadline.

        :param due_seconds: time from which the latency is measured; now by default.
        :param address: address of the entry; a random one by default.
        """
        started = anyio.current_time() if due_seconds is None else due_seconds
        if address is None:
            address = self.rng.choice(list(self.addresses()))
        headers = [
            JSON_HEADER,
            (b"bronzebeam-deadline-ms", str(deadline_ms).encode()),
        ]
        if key is not None:
            headers.append((b"idempotency-key", key.encode()))
        if attempt is not None:
            headers.append((b"bronzebeam-attempt", str(attempt).encode()))
        if class_name is not None:
            headers.append((b"bronzebeam-class", class_name.encode()))
        status = 0
        body: dict[str, Any] = {}
        exchange_result: ExchangeResult = "timeout"
        with anyio.move_on_after(deadline_ms / 1000 + RESPONSE_GRACE_SECONDS):
            exchange_result, status, body = await self._exchange(
                address, path, headers, payload
            )
        return CallerResponse(
            status=status,
            body=body,
            started_seconds=started,
            latency_ms=(anyio.current_time() - started) * 1000,
            path=path,
            key=key,
            address=address,
            exchange_result=exchange_result,
        )

    async def _exchange(
        self, address: str, path: str, headers: list[tuple[bytes, bytes]], payload: Any
    ) -> tuple[ExchangeResult, int, dict[str, Any]]:
        idle = self._idle.setdefault(address, [])
        channel = idle.pop() if idle else HttpcoreChannel(address=address)
        try:
            response = await channel.exchange(
                method="POST", path=path, headers=headers, body=orjson.dumps(payload)
            )
        except ChannelClosed as error:
            if isinstance(error.__cause__, httpcore.ConnectionNotAvailable):
                # The entry has closed this idle connection; the request was not sent.
                return await self._exchange(address, path, headers, payload)
            refused = isinstance(error.__cause__, httpcore.ConnectError)
            return "refused" if refused else "broken", 0, {}
        idle.append(channel)
        try:
            return "whole", response.status, orjson.loads(response.body)
        except orjson.JSONDecodeError:
            return "malformed", response.status, {}


def new_idempotency_key(*, now_ms: int, rng: random.Random) -> str:
    """Return a UUIDv7."""
    value = (now_ms & ((1 << 48) - 1)) << 80 | rng.getrandbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


@define(kw_only=True, eq=False)
class OpenLoop:
    """
    Sends requests at a fixed rate, without waiting for earlier responses.

    :ivar send_request: sends the request with the given number, due at the given time.
    """

    rate_per_second: float
    duration_seconds: float
    send_request: Callable[[int, float], Any]
    responses: list[CallerResponse] = field(factory=list, init=False)

    async def run(self) -> list[CallerResponse]:
        """Send all requests and return the responses."""
        started = anyio.current_time()
        count = round(self.rate_per_second * self.duration_seconds)
        async with anyio.create_task_group() as group:
            for number in range(count):
                due = started + number / self.rate_per_second
                await anyio.sleep(max(0.0, due - anyio.current_time()))
                group.start_soon(self._send_one, number, due)
        return self.responses

    async def _send_one(self, number: int, due: float) -> None:
        self.responses.append(await self.send_request(number, due))


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which `share` (0 to 1) of `values` lie; 0 if empty."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
