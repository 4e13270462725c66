"""The controllers through which an entry shares state with the rest of its fleet."""

import random

from anyio.abc import TaskGroup
from attrs import frozen

from bronzebeam.clock import Clock
from bronzebeam.controllers.configuration import ConfigurationController
from bronzebeam.controllers.gossip import GossipController, TopicSpec
from bronzebeam.controllers.membership import LeaveFleet, MembershipController
from bronzebeam.controllers.update_outbox import UpdateOutbox
from bronzebeam.documents.loading import accepted_from_json
from bronzebeam.documents.model import AcceptedDocument
from bronzebeam.entry.peer_app import PeerApp
from bronzebeam.routing.membership_state import MemberRecord, MemberState
from bronzebeam.settings import EntrySettings
from bronzebeam.telemetry.logs import log_event
from bronzebeam.telemetry.traffic import ControlTraffic
from bronzebeam.transport.instance_list import InstanceList
from bronzebeam.transport.peer import PeerClient
from bronzebeam.transport.store import Store


@frozen(kw_only=True)
class FleetControllers:
    """
    Controllers of membership, of configuration and of gossip with peers.

    :ivar peer_app: serves the peer protocol.
    """

    membership: MembershipController
    configuration: ConfigurationController
    gossip: GossipController
    peer_app: PeerApp

    def active_document(self) -> AcceptedDocument | None:
        """Return the active document, or None before the first."""
        return self.configuration.view.current

    def not_ready_reason(self) -> str | None:
        """Return why the entry should receive no requests, or None if it should."""
        readiness = self.configuration.readiness()
        return None if readiness.ready else readiness.reason

    def leave(self) -> None:
        """Notify the peers that this entry is leaving the fleet."""
        self.membership.post(LeaveFleet())

    def start(self, group: TaskGroup) -> None:
        """Start the controllers in `group`."""
        group.start_soon(self.membership.run)
        group.start_soon(self.configuration.run)
        group.start_soon(self.gossip.run)


def build_fleet_controllers(
    *,
    settings: EntrySettings,
    incarnation: int,
    store: Store,
    instance_list: InstanceList,
    peers: PeerClient,
    topics: tuple[TopicSpec, ...],
    traffic: ControlTraffic,
    clock: Clock,
    rng: random.Random,
) -> FleetControllers:
    """
    Build the controllers for one run of the process.

    :param incarnation: greater for each later run under the same instance name.
    :param topics: further kinds of state to exchange with peers.
    """
    outbox = UpdateOutbox()
    own = MemberRecord(
        instance=settings.instance,
        incarnation=incarnation,
        state=MemberState.LIVE,
        address=settings.caller_listen.bind,
        peer_address=settings.peer_listen.bind,
        failure_domain=settings.failure_domain,
    )
    membership = MembershipController(
        own=own,
        instance_list=instance_list,
        outbox=outbox,
        clock=clock,
        rng=rng,
        log=log_event,
    )
    configuration = ConfigurationController(
        environment=settings.environment,
        store=store,
        peers=peers,
        membership=membership,
        outbox=outbox,
        read_document=accepted_from_json,
        clock=clock,
        rng=rng,
        log=log_event,
    )
    gossip = GossipController(
        membership=membership,
        configuration=configuration,
        peers=peers,
        outbox=outbox,
        rng=rng,
        topics=topics,
        log=log_event,
    )
    return FleetControllers(
        membership=membership,
        configuration=configuration,
        gossip=gossip,
        peer_app=PeerApp(
            membership=membership,
            configuration=configuration,
            gossip=gossip,
            traffic=traffic,
        ),
    )
