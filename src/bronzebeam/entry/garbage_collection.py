"""Prevents the garbage collector from blocking the event loop for long."""

import gc
from collections.abc import Callable
from typing import Final

import anyio

POLL_INTERVAL_SECONDS: Final = 0.1


async def freeze_heap_when_ready(is_ready: Callable[[], bool]) -> None:
    """
    Exempt the objects created at startup from collection, once the entry is ready.

    Modules, schemas and connections live as long as the process. A full collection
    that visits them blocks every query for tens of milliseconds.
    """
    while not is_ready():
        await anyio.sleep(POLL_INTERVAL_SECONDS)
    gc.collect()
    gc.freeze()
