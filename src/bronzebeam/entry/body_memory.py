"""Bounds the memory of request bodies that have not been received completely."""

from typing import Final

import anyio
from attrs import define, field

UNFINISHED_BODIES_MAX_BYTES: Final = 67_108_864


class BodyDisplaced(Exception):
    """The unfinished bodies of all connections together exceed their limit."""


@define(kw_only=True, eq=False)
class UnfinishedBody:
    """
    One body that is being received.

    :ivar scope: cancelled when the body is displaced.
    """

    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    size_bytes: int = 0


@define(kw_only=True, eq=False)
class BodyMemory:
    """
    The bodies that are being received, oldest first.

    Beyond the limit the oldest ones are displaced, so that clients that never end
    their bodies do not keep others out.
    """

    max_bytes: int = UNFINISHED_BODIES_MAX_BYTES
    _bodies: dict[int, UnfinishedBody] = field(factory=dict, init=False)
    _total_bytes: int = field(default=0, init=False)

    def open(self) -> UnfinishedBody:
        body = UnfinishedBody()
        self._bodies[id(body)] = body
        return body

    def grow(self, body: UnfinishedBody, size_bytes: int) -> None:
        """Count bytes received for `body`; displace the oldest beyond the limit."""
        if id(body) not in self._bodies:
            return
        body.size_bytes += size_bytes
        self._total_bytes += size_bytes
        while self._total_bytes > self.max_bytes:
            oldest = next(iter(self._bodies.values()))
            self.close(oldest)
            oldest.scope.cancel()

    def close(self, body: UnfinishedBody) -> None:
        if self._bodies.pop(id(body), None) is not None:
            self._total_bytes -= body.size_bytes
