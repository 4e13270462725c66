"""Document changes by operators in a soak run, and polling of active revisions."""

from typing import Final

import anyio
import httpx

from bronzebeam.bench.history import AcceptanceRow, RevisionRow
from bronzebeam.bench.rig import EntryProcess
from bronzebeam.bench.seeding import AcceptConflict, accept_document
from bronzebeam.bench.soak_state import SoakState, soak_document
from bronzebeam.documents.loading import content_hash, document_from_json
from bronzebeam.transport.store import StoreUnavailable

POLL_INTERVAL_SECONDS: Final = 0.25
STATUS_TIMEOUT_SECONDS: Final = 1.0


async def accept_changed_document(state: SoakState) -> None:
    """Accept a changed document; record it only if the store confirms the write."""
    state.document_number += 1
    document = document_from_json(soak_document(state.document_number))
    try:
        revision = await accept_document(
            store_url=state.rig.store_url,
            document=document,
            highest_known_revision=state.highest_revision(),
        )
    except (AcceptConflict, StoreUnavailable) as error:
        state.increment(f"acceptances_{type(error).__name__}")
        return
    state.acceptances.append(
        AcceptanceRow(
            revision=revision,
            accepted_seconds=anyio.current_time(),
            content_hash=content_hash(document),
        )
    )


async def accept_concurrently(state: SoakState) -> None:
    """Accept two changed documents concurrently, as two operators would."""
    async with anyio.create_task_group() as group:
        group.start_soon(accept_changed_document, state)
        group.start_soon(accept_changed_document, state)


async def poll_revisions(state: SoakState) -> None:
    """Record the active revision that each entry reports, until cancelled."""
    polled: set[str] = set()
    async with anyio.create_task_group() as group:
        while True:
            for entry in state.rig.entries:
                if entry.name not in polled:
                    polled.add(entry.name)
                    group.start_soon(_poll_entry, state, entry)
            await anyio.sleep(POLL_INTERVAL_SECONDS)


async def _poll_entry(state: SoakState, entry: EntryProcess) -> None:
    while entry in state.rig.entries:
        requested_at = anyio.current_time()
        url = f"http://{entry.peer_address}/internal/status"
        try:
            reply = await state.rig.client.get(url, timeout=STATUS_TIMEOUT_SECONDS)
            value = reply.json()
        except (httpx.HTTPError, ValueError):
            value = {}
        if value.get("revision"):
            row = RevisionRow(
                entry=entry.name,
                at_seconds=requested_at,
                revision=value["revision"],
                content_hash=value["content_hash"] or "",
            )
            state.revisions.append(row)
        await anyio.sleep(POLL_INTERVAL_SECONDS)
