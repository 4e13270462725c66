"""Logs exceptions that no code handles before they reach the event loop."""

import asyncio
from collections.abc import Callable
from types import CodeType, CoroutineType
from typing import Any, Final

from attrs import define, field

from bronzebeam.telemetry.decisions import DecisionLog, LineRateLimiter
from bronzebeam.telemetry.error_place import place_of

LINES_PER_SECOND: Final = 1.0
LINES_BURST: Final = 20.0
MAX_CAUSE_CHARACTERS: Final = 200


@define(kw_only=True, eq=False, repr=False)
class UnhandledErrors:
    """
    The exception handler of the event loop.

    The default handler writes to standard error and waits until somebody reads it.

    :ivar count: called for each error, whether it is logged or not.
    """

    log: DecisionLog
    count: Callable[[], None]
    _limiter: LineRateLimiter = field(init=False)
    _left_out_count: int = 0

    def __attrs_post_init__(self) -> None:
        self._limiter = LineRateLimiter(per_second=LINES_PER_SECOND, burst=LINES_BURST)

    def handle(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log what asyncio says of an error, unless there are too many."""
        self.count()
        if not self._limiter.try_take(self.log.monotonic_seconds()):
            self._left_out_count += 1
            return
        left_out_count, self._left_out_count = self._left_out_count, 0
        error = context.get("exception")
        cause = context.get("message", "") if error is None else repr(error)
        self.log.event(
            "unhandled_error",
            cause=cause[:MAX_CAUSE_CHARACTERS],
            place=place_of(error),
            raised_in=_origin(context),
            left_out=left_out_count,
        )


def _origin(context: dict[str, Any]) -> str:
    """Return the name of the callback, task or protocol; its arguments are secret."""
    handle = context.get("handle")
    task = context.get("task") or context.get("future")
    if handle is not None:
        return _name(getattr(handle, "_callback", handle))
    if isinstance(task, asyncio.Task):
        coroutine = task.get_coro()
        code = getattr(coroutine, "cr_code", None)
        if isinstance(coroutine, CoroutineType) and isinstance(code, CodeType):
            return code.co_qualname
    return _name(context.get("protocol") or task)


def _name(thing: object) -> str:
    return getattr(thing, "__qualname__", type(thing).__name__)
