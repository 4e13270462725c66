"""Confirmation of the configuration that an instance starts with."""

import asyncio
import random
from collections.abc import Collection
from typing import Final

from attrs import define, evolve

from bronzebeam.decoding import read_count
from bronzebeam.gateway.change_codec import (
    MalformedFeedResponse,
    decode_feed_response,
    encode_changes,
    encode_feed_response,
)
from bronzebeam.gateway.records import (
    Change,
    GatewayStore,
    InstanceRecord,
    RecordKind,
    StoreSnapshot,
)
from bronzebeam.routing.routes import RouteTable
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.transport.caller_request import HttpRequest
from bronzebeam.transport.http_call import CallFailed, HttpCallClient
from bronzebeam.transport.http_reply import ReplyMemory

CONFIGURATION_PATH: Final = b"/configuration"
VERSION_PARAMETER: Final = "newer_than="
ASKED_PEERS: Final = 3  # some may be gone, or have just started themselves
# Many round trips; callers wait for 150 ms for the first configuration.
ANSWER_TIMEOUT_SECONDS: Final = 0.08


def answer_configuration_request(
    request: HttpRequest, *, table: RouteTable | None
) -> None:
    """Respond with this instance's configuration if it is newer than the peer's."""
    text = request.target.decode("latin-1").partition(VERSION_PARAMETER)[2]
    try:
        version = read_count(text)
    except ValueError:
        request.respond(status=400, headers=[], body=b"")
        return
    changes = []
    if table is not None and table.version > version:
        changes.append(Change(kind=RecordKind.CONFIGURATION, name="", value=table))
    body = encode_feed_response(
        revision=0, is_up_to_date=True, changes=encode_changes(changes)
    )
    request.respond(status=200, headers=[], body=body)


@define(kw_only=True, eq=False, repr=False)
class PeerConfigurations:
    """
    Asks peers for a newer configuration than the one in the store.

    A store that has come back from an older copy has lost the latest configuration,
    which live instances keep in force. Without them, an instance that starts would
    serve keys that have been removed.

    :ivar reply_memory: shared with the other connections of the process.
    """

    instance: str
    log: DecisionLog
    rng: random.Random
    reply_memory: ReplyMemory

    async def confirm_accounts(
        self, snapshot: StoreSnapshot, *, store: GatewayStore, may_be_stale: bool
    ) -> StoreSnapshot:
        """
        Return the records for a start, without keys that have been removed.

        :raises StoreUnavailable: if the store does not confirm a stale read.
        """
        table = snapshot.table
        if table is None or not table.accounts:
            return snapshot
        if may_be_stale:
            # The next watch would tell of a removed key, but it may fail for as long as
            # the store does.
            latest = await store.read_configuration()
            if latest is None or latest.version != table.version:
                # The earlier read may lack replicas of this configuration.
                snapshot = await store.read_snapshot()
        if snapshot.table is None:
            return snapshot
        newest = await self._newest(snapshot.table, snapshot.instances.values())
        return evolve(snapshot, table=newest)

    async def _newest(
        self, table: RouteTable, peers: Collection[InstanceRecord]
    ) -> RouteTable:
        """Return the newest configuration that some peers have, or the given one."""
        usable = [
            peer for peer in peers if peer.host and peer.instance != self.instance
        ]
        asked = self.rng.sample(usable, min(ASKED_PEERS, len(usable)))
        answers = await asyncio.gather(
            *(self._ask(peer, table.version) for peer in asked)
        )
        newest = max(
            (answer for answer in answers if answer is not None),
            key=lambda item: item.version,
            default=table,
        )
        if newest.version <= table.version:
            return table
        self.log.event(
            "configuration_of_peer",
            version=newest.version,
            version_in_store=table.version,
        )
        return newest

    async def _ask(self, peer: InstanceRecord, version: int) -> RouteTable | None:
        client = HttpCallClient(
            host=peer.host, port=peer.port, reply_memory=self.reply_memory
        )
        try:
            reply = await client.call(
                "GET",
                f"{CONFIGURATION_PATH.decode()}?{VERSION_PARAMETER}{version}",
                body=None,
                timeout_seconds=ANSWER_TIMEOUT_SECONDS,
            )
            if reply.status != 200:
                raise CallFailed(f"status {reply.status}")  # 404 of an earlier build
            changes = decode_feed_response(reply.body).changes
        except (CallFailed, MalformedFeedResponse) as error:
            self.log.event(
                "configuration_not_received", peer=peer.instance, cause=str(error)
            )
            return None
        finally:
            client.close()
        tables = [item.value for item in changes if isinstance(item.value, RouteTable)]
        return tables[0] if tables else None
