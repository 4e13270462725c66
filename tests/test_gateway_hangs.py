"""Tests that a gateway process goes on when what it reads or writes would block."""

import asyncio
import os
import signal
import threading
from collections.abc import Callable
from pathlib import Path

from tests.test_gateway_process import (
    GatewayPlace,
    RealGateway,
    run_with_gateway,
)

MAX_ANSWER_SECONDS = 10.0  # for requests that take milliseconds
MAX_BYTES = 100_000_000


async def check_serves(gateway: RealGateway, attempt_id: str) -> None:
    async with asyncio.timeout(MAX_ANSWER_SECONDS):
        assert await gateway.is_ready()
        response = await gateway.send_request(attempt_id)
        assert response.status_code == 200


async def has_event(gateway: RealGateway, name: str) -> bool:
    try:
        async with asyncio.timeout(MAX_ANSWER_SECONDS):
            await gateway.wait_for_event(name)
    except TimeoutError:
        return False
    return True


def peak_bytes(gateway: RealGateway) -> int:
    lines = Path(f"/proc/{gateway.process.pid}/status").read_text().splitlines()
    (line,) = [item for item in lines if item.startswith("VmHWM")]
    return 1_024 * int(line.split()[1])


def link_endless_file(path: Path) -> None:
    path.symlink_to("/dev/zero")


def test_settings_that_never_end_do_not_block_a_process_that_serves() -> None:
    replacements: tuple[Callable[[Path], None], ...] = (os.mkfifo, link_endless_file)
    for replace in replacements:

        async def use(gateway: RealGateway) -> None:
            gateway.place.settings.unlink()
            replace(gateway.place.settings)
            gateway.process.send_signal(signal.SIGHUP)
            assert await has_event(gateway, "reload_failed")
            await check_serves(gateway, "p-1")
            assert peak_bytes(gateway) < MAX_BYTES
            gateway.place.settings.unlink()
            gateway.place.settings.write_text(gateway.place.text)
            assert await has_event(gateway, "reloaded")

        run_with_gateway(use)


def start_without_a_settings_file(replace: Callable[[Path], None]) -> None:
    def spoil(place: GatewayPlace) -> None:
        place.settings.unlink()
        replace(place.settings)

    async def use(gateway: RealGateway) -> None:
        assert await has_event(gateway, "settings_awaited")
        assert peak_bytes(gateway) < MAX_BYTES
        gateway.place.settings.unlink()
        gateway.place.settings.write_text(gateway.place.text)
        async with asyncio.timeout(MAX_ANSWER_SECONDS):
            await gateway.wait_ready()
        await check_serves(gateway, "p-1")

    run_with_gateway(use, is_ready=False, before_start=spoil)


def test_start_waits_for_settings_in_place_of_an_endless_file() -> None:
    start_without_a_settings_file(link_endless_file)


def test_start_waits_for_settings_in_place_of_a_pipe_without_a_writer() -> None:
    start_without_a_settings_file(os.mkfifo)


def test_unread_output_that_another_process_lets_block_does_not_block_this_one() -> (
    None
):
    reader, writer = os.pipe()

    async def use(gateway: RealGateway) -> None:
        # The pipe is one for all processes that have inherited it.
        os.set_blocking(writer, True)
        for number in range(900):
            async with asyncio.timeout(MAX_ANSWER_SECONDS):
                response = await gateway.send_request(f"p-{number}")
            assert response.status_code == 200
            if number % 3 == 0:
                gateway.process.send_signal(signal.SIGHUP)
            if number % 50 == 0:
                os.set_blocking(writer, True)
        await check_serves(gateway, "last")
        # What is kept is written once somebody reads.
        threading.Thread(target=drain, args=(reader,), daemon=True).start()
        gateway.process.send_signal(signal.SIGTERM)
        assert await gateway.process.wait() == 0

    try:
        run_with_gateway(use, stdout=writer)
    finally:
        os.close(writer)


def drain(descriptor: int) -> None:
    while os.read(descriptor, 65_536):
        pass
    os.close(descriptor)
