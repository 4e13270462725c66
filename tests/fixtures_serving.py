"""Servers on loopback ports for the time of a test."""

import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import anyio
from anyio.from_thread import start_blocking_portal

Serve = Callable[[str, int], Awaitable[None]]


@contextmanager
def serving() -> Iterator[Callable[[Serve], str]]:
    """Yield a function that starts a server in a thread and returns its address."""
    with start_blocking_portal() as portal:
        tasks = []

        def start(serve: Serve) -> str:
            port = free_port()
            tasks.append(portal.start_task_soon(serve, "127.0.0.1", port))
            wait_until_open(port)
            return f"127.0.0.1:{port}"

        try:
            yield start
        finally:
            for task in tasks:
                task.cancel()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def wait_until_open(port: int) -> None:
    for _ in range(500):
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                return
        anyio.run(anyio.sleep, 0.01)
    raise AssertionError("the server did not come up")
