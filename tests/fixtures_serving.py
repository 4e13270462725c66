"""Servers on loopback ports for the duration of a test."""

import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import anyio
from anyio.from_thread import start_blocking_portal

Serve = Callable[[str, int], Awaitable[None]]


@contextmanager
def running_servers() -> Iterator[Callable[[Serve], str]]:
    """Yield a function that starts a server and returns its address."""
    with start_blocking_portal() as portal:
        tasks = []

        def start(serve: Serve) -> str:
            port = find_free_port()
            tasks.append(portal.start_task_soon(serve, "127.0.0.1", port))
            wait_until_listening(port)
            return f"127.0.0.1:{port}"

        try:
            yield start
        finally:
            for task in tasks:
                task.cancel()


def find_free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def wait_until_listening(port: int) -> None:
    for _ in range(500):
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) == 0:
                return
        anyio.run(anyio.sleep, 0.01)
    raise AssertionError("the server did not accept connections within 5 s")
