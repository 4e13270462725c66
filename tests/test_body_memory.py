"""Tests of the bound on unfinished request bodies."""

from typing import Any

import anyio
import anyio.lowlevel
import trio.testing

from bronzebeam.entry.asgi import read_body
from bronzebeam.entry.body_memory import BodyDisplaced, BodyMemory

PART_BYTES = 400


def test_oldest_unfinished_body_gives_way_and_later_ones_are_read() -> None:
    results: list[Any] = []

    async def read(memory: BodyMemory, part_count: int, is_finished: bool) -> None:
        parts = [{"body": b"x" * PART_BYTES, "more_body": True}] * part_count
        messages: list[dict[str, Any]] = [{"type": "http.request", **p} for p in parts]
        if is_finished:
            messages.append({"type": "http.request", "body": b"", "more_body": False})

        async def receive() -> dict[str, Any]:
            await anyio.lowlevel.checkpoint()
            if not messages:
                await anyio.sleep_forever()
            return messages.pop(0)

        try:
            body = await read_body(receive, max_bytes=10_000, memory=memory)
            results.append(len(body))
        except BodyDisplaced:
            results.append("displaced")

    async def main() -> None:
        memory = BodyMemory(max_bytes=1_000)
        async with anyio.create_task_group() as group:
            group.start_soon(read, memory, 2, False)
            await anyio.wait_all_tasks_blocked()
            await read(memory, 2, True)
            await anyio.wait_all_tasks_blocked()
            assert results == ["displaced", 2 * PART_BYTES]
            await read(memory, 2, True)
            group.cancel_scope.cancel()
        assert results[2:] == [2 * PART_BYTES]

    anyio.run(main, backend="trio", backend_options={"clock": trio.testing.MockClock()})
