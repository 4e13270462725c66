"""Search load at a constant rate on all entries of a rig."""

from bronzebeam.bench.documents import SEARCH_PATH
from bronzebeam.bench.load import Caller, CallerResponse, OpenLoop
from bronzebeam.bench.rig import Rig


async def run_searches(
    rig: Rig, *, rate_per_second: float, seconds: float, deadline_ms: int
) -> list[CallerResponse]:
    """Send searches at a fixed rate and return all responses."""
    caller = Caller(addresses=lambda: [entry.caller_address for entry in rig.entries])

    async def send(number: int, due: float) -> CallerResponse:
        return await caller.post(
            SEARCH_PATH, {"q": number}, deadline_ms=deadline_ms, due_seconds=due
        )

    load = OpenLoop(
        rate_per_second=rate_per_second, duration_seconds=seconds, send_request=send
    )
    return await load.run()
