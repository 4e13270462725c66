"""HTTP/1.1 requests and responses of the backend server stand-in."""

from typing import Final

import anyio
import h11
from anyio.abc import SocketStream

READ_BYTES: Final = 65_536


async def read_request(
    connection: h11.Connection, stream: SocketStream
) -> tuple[h11.Request | None, bytes]:
    """Read a complete request; None if the connection is closed before its end."""
    request: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            try:
                connection.receive_data(await stream.receive(READ_BYTES))
            except anyio.EndOfStream:
                connection.receive_data(b"")
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return request, body
        else:
            return None, b""


def encode_response(connection: h11.Connection, status: int, content: bytes) -> bytes:
    """Encode a complete response with a JSON body."""
    head = h11.Response(
        status_code=status,
        headers=[
            ("content-type", "application/json"),
            ("content-length", str(len(content))),
        ],
    )
    parts = [
        connection.send(head),
        connection.send(h11.Data(data=content)),
        connection.send(h11.EndOfMessage()),
    ]
    return b"".join(part for part in parts if part)
