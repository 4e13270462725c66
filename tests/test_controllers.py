"""Tests of the message loop that all controllers share."""

import anyio
import trio

from bronzebeam.controllers.base import Controller

MESSAGES = 500
YIELDS = 10


class CountingController(Controller[int]):
    """Records its messages."""

    def __init__(self) -> None:
        super().__init__()
        self.handled: list[int] = []

    async def handle(self, message: int) -> None:
        self.handled.append(message)


def test_controller_handles_queued_messages_without_yielding_for_each() -> None:
    async def main() -> None:
        controller = CountingController()
        async with anyio.create_task_group() as group:
            group.start_soon(controller.run)
            for message in range(MESSAGES):
                controller.post(message)
            for _ in range(YIELDS):
                await anyio.lowlevel.checkpoint()
            assert controller.handled == list(range(MESSAGES))
            group.cancel_scope.cancel()

    trio.run(main)


def test_controller_yields_under_endless_messages() -> None:
    async def main() -> None:
        class SelfPostingController(CountingController):
            async def handle(self, message: int) -> None:
                await super().handle(message)
                self.post(message + 1)

        controller = SelfPostingController()
        async with anyio.create_task_group() as group:
            group.start_soon(controller.run)
            controller.post(0)
            for _ in range(YIELDS):
                await anyio.lowlevel.checkpoint()
            group.cancel_scope.cancel()
        assert controller.handled

    trio.run(main)
