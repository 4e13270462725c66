"""Raw ASGI requests for fuzz tests of HTTP applications."""

from typing import Any

from attrs import define, field
from hypothesis import strategies as st

ANY_TEXT = st.text(st.characters(), max_size=40)
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(exclude_categories=["Cs"]), max_size=20),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(
        st.text(st.characters(exclude_categories=["Cs"]), max_size=12),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)


@define(kw_only=True, eq=False)
class RawRequest:
    """
    One HTTP request as the server passes it to an application.

    :ivar chunks: chunks of the body; if `is_truncated` is set, the client disconnects
        after the last one, before the end of the body.
    :ivar sent_messages: messages that the application sent.
    :ivar read_bytes: bytes of the body that the application has read.
    """

    method: str
    path: str
    headers: list[tuple[bytes, bytes]]
    chunks: list[bytes]
    is_truncated: bool = False
    sent_messages: list[dict[str, Any]] = field(factory=list, init=False)
    read_bytes: int = field(default=0, init=False)
    _next_chunk: int = field(default=0, init=False)

    @property
    def scope(self) -> dict[str, Any]:
        return {
            "type": "http",
            "method": self.method,
            "path": self.path,
            "query_string": b"",
            "headers": self.headers,
        }

    async def receive(self) -> dict[str, Any]:
        """Return the next chunk of the body, or the disconnect message."""
        if self._next_chunk >= len(self.chunks):
            return {"type": "http.disconnect"}
        chunk = self.chunks[self._next_chunk]
        self._next_chunk += 1
        self.read_bytes += len(chunk)
        more_body = self.is_truncated or self._next_chunk < len(self.chunks)
        return {"type": "http.request", "body": chunk, "more_body": more_body}

    async def send(self, message: dict[str, Any]) -> None:
        """Record a message from the application."""
        self.sent_messages.append(message)

    @property
    def status(self) -> int:
        return int(self.sent_messages[0]["status"])

    @property
    def body(self) -> bytes:
        return bytes(self.sent_messages[1]["body"])


def is_complete_response(request: RawRequest) -> bool:
    """Return whether exactly one complete, well-formed response was sent."""
    message_types = [message["type"] for message in request.sent_messages]
    if message_types != ["http.response.start", "http.response.body"]:
        return False
    headers = dict(request.sent_messages[0]["headers"])
    length = int(headers[b"content-length"])
    is_clean = all(b"\r" not in x and b"\n" not in x for x in headers.values())
    return is_clean and length == len(request.body)


def raw_requests(
    *,
    methods: st.SearchStrategy[str],
    paths: st.SearchStrategy[str],
    headers: st.SearchStrategy[list[tuple[bytes, bytes]]],
    bodies: st.SearchStrategy[bytes],
) -> st.SearchStrategy[RawRequest]:
    """Build requests whose bodies arrive in chunks and may be truncated."""
    chunks = st.lists(bodies, min_size=1, max_size=3)
    return st.builds(
        RawRequest,
        method=methods,
        path=paths,
        headers=headers,
        chunks=chunks,
        is_truncated=st.booleans(),
    )
