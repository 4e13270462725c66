"""Byte counts of an entry's control traffic: peers, store and instance list."""

from collections import Counter
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Final

import httpx
from attrs import define, field

HEADER_OVERHEAD_BYTES: Final = 4
"""Bytes of a header besides name and value: colon, space and line end."""

START_LINE_OVERHEAD_BYTES: Final = 14
"""Bytes of a request line or status line besides the path."""


RESPONSE_HEAD_BYTES: Final = 130
"""Bytes of a response head, with the date and server headers of the HTTP server."""


class ControlChannel(StrEnum):
    """The other end of the counted traffic."""

    PEER = "peer"
    STORE = "store"
    INSTANCE_LIST = "instance_list"


@define(kw_only=True)
class ControlTraffic:
    """
    Counts the bytes of HTTP messages in both directions, without TCP and IP headers.

    :ivar counted_bytes: bytes since the start of the process.
    """

    counted_bytes: Counter[ControlChannel] = field(factory=Counter)

    def count_call(
        self, channel: ControlChannel, response: httpx.Response, body_bytes: int
    ) -> None:
        """
        Count a call made by this entry, and its response.

        :param body_bytes: size of the response body.
        """
        request = response.request
        request_body_bytes = int(request.headers.get("content-length", 0))
        self.counted_bytes[channel] += (
            head_bytes(request.headers.raw, len(request.url.raw_path))
            + request_body_bytes
            + head_bytes(response.headers.raw, 0)
            + body_bytes
        )

    def count_served(
        self,
        channel: ControlChannel,
        *,
        headers: Sequence[tuple[bytes, bytes]],
        path: str,
        response_body_bytes: int,
    ) -> None:
        """Count a request served by this entry, and its response."""
        length = dict(headers).get(b"content-length", b"0")
        self.counted_bytes[channel] += (
            head_bytes(headers, len(path))
            + int(length)
            + RESPONSE_HEAD_BYTES
            + response_body_bytes
        )


def head_bytes(headers: Iterable[tuple[bytes, bytes]], path_bytes: int) -> int:
    """Return the size of the head of a message."""
    size_bytes = START_LINE_OVERHEAD_BYTES + path_bytes
    for name, value in headers:
        size_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
    return size_bytes
