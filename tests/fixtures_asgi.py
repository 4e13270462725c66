"""Raw ASGI requests for fuzz tests."""

from typing import Any

from attrs import define, field
from hypothesis import strategies as st

ANY_TEXT = st.text(st.characters(), max_size=40)
JSON = st.recursive(
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
    One HTTP request as the server hands it to an application.

    :ivar parts: parts of the body; the connection ends after the last one if
        `cut` is set.
    :ivar sent: messages that the application sent.
    :ivar taken_bytes: bytes of the body that the application took.
    """

    method: str
    path: str
    headers: list[tuple[bytes, bytes]]
    parts: list[bytes]
    cut: bool = False
    sent: list[dict[str, Any]] = field(factory=list, init=False)
    taken_bytes: int = field(default=0, init=False)
    _next: int = field(default=0, init=False)

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
        """Hand out the next part of the body, or the end of the connection."""
        if self._next >= len(self.parts):
            return {"type": "http.disconnect"}
        part = self.parts[self._next]
        self._next += 1
        self.taken_bytes += len(part)
        more = self.cut or self._next < len(self.parts)
        return {"type": "http.request", "body": part, "more_body": more}

    async def send(self, message: dict[str, Any]) -> None:
        """Keep a message of the application."""
        self.sent.append(message)

    @property
    def status(self) -> int:
        return int(self.sent[0]["status"])

    @property
    def body(self) -> bytes:
        return bytes(self.sent[1]["body"])


def whole_response(request: RawRequest) -> bool:
    """Tell whether one whole, well formed response was sent."""
    kinds = [message["type"] for message in request.sent]
    if kinds != ["http.response.start", "http.response.body"]:
        return False
    headers = dict(request.sent[0]["headers"])
    length = int(headers[b"content-length"])
    clean = all(b"\r" not in x and b"\n" not in x for x in headers.values())
    return clean and length == len(request.body)


def raw_requests(
    *,
    methods: st.SearchStrategy[str],
    paths: st.SearchStrategy[str],
    headers: st.SearchStrategy[list[tuple[bytes, bytes]]],
    bodies: st.SearchStrategy[bytes],
) -> st.SearchStrategy[RawRequest]:
    """Build requests whose bodies come in parts and may be cut off."""
    parts = st.lists(bodies, min_size=1, max_size=3)
    return st.builds(
        RawRequest,
        method=methods,
        path=paths,
        headers=headers,
        parts=parts,
        cut=st.booleans(),
    )
