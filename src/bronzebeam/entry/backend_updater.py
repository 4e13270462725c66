"""Passes new documents and instance lists on to the controller of backend servers."""

from typing import Final

import anyio
from attrs import define, field

from bronzebeam.controllers.backends import (
    BackendController,
    BackendListReceived,
    DocumentChanged,
)
from bronzebeam.documents.model import AcceptedDocument
from bronzebeam.entry.fleet_controllers import FleetControllers
from bronzebeam.transport.instance_list import InstanceRole, ListedInstance

POLL_INTERVAL_SECONDS: Final = 0.2


@define(kw_only=True, eq=False)
class BackendUpdater:
    """Polls for a new document or instance list at short intervals."""

    fleet: FleetControllers
    backends: BackendController
    _last_document: AcceptedDocument | None = field(default=None, init=False)
    _last_listed: tuple[ListedInstance, ...] = field(default=(), init=False)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self._post_changes()
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    def _post_changes(self) -> None:
        document = self.fleet.active_document()
        if document is not None and document is not self._last_document:
            self._last_document = document
            self.backends.post(DocumentChanged(document=document.document))
        listed = self.fleet.membership.view.listed
        if listed is not self._last_listed:
            self._last_listed = listed
            backend_servers = tuple(
                item for item in listed if item.role is InstanceRole.BACKEND
            )
            self.backends.post(BackendListReceived(instances=backend_servers))
