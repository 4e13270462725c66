"""Tests of the entry's HTTP server."""

import socket
from typing import Any

import anyio
import httpx

from bronzebeam.entry.server import serve_http
from tests.fixtures_serving import find_free_port, wait_until_listening

LOOPBACK = "127.0.0.1"
UNFINISHED_REQUEST = (
    b"POST / HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"2\r\nxx\r\n" * 100
)


async def app(scope: Any, receive: Any, send: Any) -> None:
    if scope["type"] == "lifespan":
        while True:
            message = await receive()
            await send({"type": message["type"] + ".complete"})
            if message["type"] == "lifespan.shutdown":
                return
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body", "body": b""})


async def _serve(port: int, stop: anyio.Event) -> None:
    await serve_http(
        app,
        bind=f"{LOOPBACK}:{port}",
        shutdown_trigger=stop.wait,
        graceful_timeout_seconds=1.0,
    )


def test_start_waits_for_a_port_that_another_process_has() -> None:
    async def main() -> None:
        port, stop = find_free_port(), anyio.Event()
        async with anyio.create_task_group() as group:
            with socket.create_server((LOOPBACK, port)):
                group.start_soon(_serve, port, stop)
                await anyio.sleep(0.2)
            async with httpx.AsyncClient(trust_env=False) as client:
                status = 0
                with anyio.fail_after(20.0):
                    while not status:
                        try:
                            reply = await client.get(f"http://{LOOPBACK}:{port}/")
                            status = reply.status_code
                        except httpx.HTTPError:
                            await anyio.sleep(0.05)
                assert status == 204
            stop.set()

    anyio.run(main)


def test_shutdown_ends_the_wait_for_a_port() -> None:
    async def main() -> None:
        port, stop = find_free_port(), anyio.Event()
        with socket.create_server((LOOPBACK, port)):
            with anyio.fail_after(20.0):
                async with anyio.create_task_group() as group:
                    group.start_soon(_serve, port, stop)
                    await anyio.sleep(0.2)
                    stop.set()

    anyio.run(main)


def test_connection_ends_after_the_answer_to_a_body_that_nothing_reads() -> None:
    async def main() -> None:
        port, stop = find_free_port(), anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(_serve, port, stop)
            await anyio.to_thread.run_sync(wait_until_listening, port)
            ended = False
            async with await anyio.connect_tcp(LOOPBACK, port) as stream:
                await stream.send(UNFINISHED_REQUEST)
                with anyio.move_on_after(20.0):
                    try:
                        while True:
                            await stream.receive()
                    except anyio.EndOfStream:
                        ended = True
            stop.set()
        assert ended, "the connection is still open"

    anyio.run(main)
