"""A fleet of entries in one process: a store, an instance list and links in memory."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, TypeVar

import anyio
import orjson
import trio
import trio.testing
from attrs import define, field
from trio._core import _run as trio_run

from bronzebeam.controllers import instance_topic
from bronzebeam.controllers.configuration import ConfigurationController
from bronzebeam.controllers.gossip import GossipController, TopicSpec
from bronzebeam.controllers.instance_topic import InstanceTopic
from bronzebeam.controllers.membership import (
    MembershipController,
)
from bronzebeam.controllers.peer_messages import (
    Exchange,
    Push,
    PushReply,
    exchange_from_json,
    exchange_to_json,
    push_from_json,
    push_reply_from_json,
    push_reply_to_json,
    push_to_json,
)
from bronzebeam.controllers.update_outbox import UpdateOutbox
from bronzebeam.documents.model import (
    AcceptedDocument,
    CallerLimitSpec,
    EnvironmentDocument,
    FleetSpec,
)
from bronzebeam.routing.membership_state import MemberRecord, MemberState
from bronzebeam.transport.instance_list import (
    InstanceListUnavailable,
    InstanceRole,
    InstanceState,
    ListedInstance,
)
from bronzebeam.transport.peer import PeerUnavailable
from bronzebeam.transport.store import (
    Conflict,
    StoredValue,
    StoreUnavailable,
    Written,
)

ENVIRONMENT = "trial"
PEER_TIMEOUT_SECONDS = 1.0
ResultT = TypeVar("ResultT")


def accepted_value(revision: int, content: str = "a") -> dict[str, Any]:
    return {"revision": revision, "content_hash": f"{content}{revision}"}


def read_accepted(value: Any) -> AcceptedDocument:
    return AcceptedDocument(
        revision=value["revision"],
        write_id=f"w{value['revision']}",
        content_hash=value["content_hash"],
        author="ann",
        approved_by="ben",
        document=EnvironmentDocument(
            environment=ENVIRONMENT,
            fleet=FleetSpec(entry_instances=8),
            classes=(),
            caller_limit=CallerLimitSpec(rate_per_second=1.0, burst=1),
            services=(),
        ),
    )


def member(instance: str, domain: str = "a", incarnation: int = 1) -> MemberRecord:
    return MemberRecord(
        instance=instance,
        incarnation=incarnation,
        state=MemberState.LIVE,
        address=f"{instance}:80",
        peer_address=instance,
        failure_domain=domain,
    )


def backend(
    name: str = "b0", state: InstanceState = InstanceState.LIVE
) -> ListedInstance:
    return ListedInstance(
        instance=name,
        role=InstanceRole.BACKEND,
        service="search",
        address=f"{name}:80",
        peer_address=None,
        failure_domain="a",
        state=state,
    )


class VersionTopic:
    """News of names with versions; the higher version is kept."""

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}

    def digest(self) -> Any:
        return dict(self.versions)

    def delta(self, since: Any) -> Any:
        known = since or {}
        newer = {
            name: version
            for name, version in self.versions.items()
            if version > known.get(name, 0)
        }
        return newer or None

    def merge(self, payload: Any) -> bool:
        newer = {
            name: version
            for name, version in payload.items()
            if version > self.versions.get(name, 0)
        }
        self.versions.update(newer)
        return bool(newer)


@define(kw_only=True)
class VirtualClock:
    """Monotonic and wall time of the virtual clock."""

    ahead_seconds: float = 0.0

    def monotonic_seconds(self) -> float:
        return anyio.current_time()

    def wall_seconds(self) -> float:
        return 1_800_000_000.0 + anyio.current_time() + self.ahead_seconds


class FakeStore:
    """The store's one key, with its faults and a count of calls."""

    def __init__(self) -> None:
        self.stored: StoredValue | None = None
        self.up = True
        self.silent_watches = False
        self.calls = 0
        self.changed = anyio.Event()

    def put(self, value: Any, mod_revision: int | None = None) -> None:
        before = 0 if self.stored is None else self.stored.mod_revision
        self.stored = StoredValue(
            key="k", value=value, mod_revision=mod_revision or before + 1
        )
        self.changed.set()
        self.changed = anyio.Event()

    async def get(self, key: str) -> StoredValue | None:
        self.calls += 1
        if not self.up:
            raise StoreUnavailable
        return self.stored

    async def watch(
        self, *, key: str, after: int, wait_seconds: float
    ) -> StoredValue | None:
        self.calls += 1
        if self.silent_watches:
            await anyio.sleep_forever()
        with anyio.move_on_after(wait_seconds):
            while self.stored is None or self.stored.mod_revision <= after:
                await self.changed.wait()
            return self.stored
        if not self.up:
            raise StoreUnavailable
        return None

    async def compare_and_swap(
        self, *, key: str, value: Any, expected: int, lease_id: str | None = None
    ) -> Written | Conflict:
        raise NotImplementedError

    async def grant_lease(self, *, ttl_seconds: float) -> str:
        raise NotImplementedError

    async def keep_lease(self, *, lease_id: str) -> bool:
        raise NotImplementedError


@define(kw_only=True, eq=False)
class FakeNode:
    """One entry with its controllers."""

    record: MemberRecord
    membership: MembershipController
    configuration: ConfigurationController
    gossip: GossipController
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)

    @property
    def revision(self) -> int:
        return self.configuration.view.revision

    async def run(self) -> None:
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.membership.run)
                tasks.start_soon(self.configuration.run)
                tasks.start_soon(self.gossip.run)


class Fleet:
    """
    Entries by name.

    :ivar held: entries whose calls and answers stand still, as when paused.
    :ivar cut: entries that reach nothing and are reached by nothing.
    :ivar storeless: entries that do not reach the store.
    :ivar peerless: entries that reach no peer and are reached by none.
    :ivar listless: entries that do not reach the instance list.
    :ivar loss: share of calls between peers that is lost.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup, seed: int = 1) -> None:
        self.tasks = tasks
        self.rng = Random(seed)
        self.store = FakeStore()
        self.nodes: dict[str, FakeNode] = {}
        self.listings: dict[str, InstanceTopic] = {}
        self.clocks: dict[str, VirtualClock] = {}
        self.listed: dict[str, ListedInstance] = {}
        self.held: set[str] = set()
        self.cut: set[str] = set()
        self.storeless: set[str] = set()
        self.peerless: set[str] = set()
        self.listless: set[str] = set()
        self.loss = 0.0
        self.duplicate_pushes = False
        self.list_up = True
        self.fetches = 0
        self.events: list[tuple[str, str, dict[str, Any]]] = []

    def start(
        self,
        name: str,
        domain: str = "a",
        topics: tuple[TopicSpec, ...] = (),
        read: Callable[[Any], AcceptedDocument] = read_accepted,
        incarnation: int | None = None,
    ) -> FakeNode:
        started_ms = 1_000 + int(anyio.current_time() * 1000)
        own = member(name, domain, incarnation or started_ms)
        link = FakeLink(fleet=self, name=name)
        outbox = UpdateOutbox()

        def log(event: str, **fields: Any) -> None:
            self.events.append((name, event, fields))

        clock = VirtualClock()
        instances = InstanceTopic(source=link, clock=clock)
        seeded: dict[str, Any] = {
            "clock": clock,
            "rng": Random(self.rng.random()),
            "log": log,
        }
        membership = MembershipController(
            own=own, instance_list=instances, outbox=outbox, **seeded
        )
        configuration = ConfigurationController(
            environment=ENVIRONMENT,
            store=link.store(),
            peers=link,
            membership=membership,
            outbox=outbox,
            read_document=read,
            **seeded,
        )
        gossip = GossipController(
            membership=membership,
            configuration=configuration,
            peers=link,
            outbox=outbox,
            rng=Random(self.rng.random()),
            topics=(*topics, self.listing(instances)),
            log=log,
        )
        self.listings[name], self.clocks[name] = instances, clock
        instances.membership = membership
        instances.publish = gossip.publish
        node = FakeNode(
            record=own,
            membership=membership,
            configuration=configuration,
            gossip=gossip,
        )
        self.nodes[name] = node
        self.listed[name] = ListedInstance(
            instance=name,
            role=InstanceRole.ENTRY,
            service=None,
            address=own.address,
            peer_address=name,
            failure_domain=domain,
            state=InstanceState.LIVE,
        )
        self.tasks.start_soon(node.run)
        return node

    @staticmethod
    def listing(instances: InstanceTopic) -> TopicSpec:
        return TopicSpec(
            name=instance_topic.TOPIC,
            topic=instances,
            pushed=True,
            max_bytes=instance_topic.MAX_TOPIC_BYTES,
        )

    def start_many(self, count: int, prefix: str = "e") -> None:
        for index in range(count):
            self.start(f"{prefix}{index}", "abcd"[index % 4])

    def kill(self, name: str) -> None:
        self.nodes.pop(name).scope.cancel()

    def watchers(self) -> list[str]:
        nodes = self.nodes.items()
        return [name for name, node in nodes if node.configuration.should_watch()]

    def revisions(self) -> set[int]:
        return {node.revision for node in self.nodes.values()}

    def seen(self, event: str) -> int:
        return sum(1 for _, name, _ in self.events if name == event)

    async def in_force(self, revision: int, within: float) -> float:
        """Return the seconds until `revision` is the only one in force."""
        start = anyio.current_time()
        while self.revisions() != {revision}:
            assert anyio.current_time() - start < within, self.describe()
            await anyio.sleep(0.05)
        return anyio.current_time() - start

    def describe(self) -> dict[str, int]:
        return {name: node.revision for name, node in self.nodes.items()}

    async def pass_through(self, name: str) -> None:
        """Hold a call of `name` while it is paused."""
        while name in self.held:
            await anyio.sleep(0.05)


class FakeLink:
    """What one entry reaches the rest through."""

    def __init__(self, *, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def store(self) -> "FakeStoreLink":
        return FakeStoreLink(fleet=self._fleet, name=self._name)

    async def fetch(self) -> tuple[ListedInstance, ...]:
        await self._fleet.pass_through(self._name)
        apart = self._fleet.cut | self._fleet.listless
        if self._name in apart or not self._fleet.list_up:
            raise InstanceListUnavailable
        return tuple(self._fleet.listed.values())

    async def exchange(self, *, address: str, message: Exchange) -> Exchange:
        sent = _through_json(exchange_to_json(message))
        node = await self._reach(address)
        answer = node.gossip.answer_exchange(exchange_from_json(sent))
        return exchange_from_json(_through_json(exchange_to_json(answer)))

    async def push(self, *, address: str, message: Push) -> PushReply:
        sent = _through_json(push_to_json(message))
        node = await self._reach(address)
        for _ in range(2 if self._fleet.duplicate_pushes else 1):
            answer = node.gossip.answer_push(push_from_json(sent))
        return push_reply_from_json(_through_json(push_reply_to_json(answer)))

    async def fetch_document(self, *, address: str) -> Any:
        node = await self._reach(address)
        self._fleet.fetches += 1
        encoded = node.configuration.view.encoded
        return None if encoded is None else orjson.loads(encoded)

    async def _reach(self, address: str) -> FakeNode:
        fleet = self._fleet
        await fleet.pass_through(self._name)
        await anyio.sleep(0.002)
        lost = fleet.rng.random() < fleet.loss
        apart = {self._name, address} & (fleet.cut | fleet.peerless)
        node = fleet.nodes.get(address)
        if node is None or lost or apart or address in fleet.held:
            await anyio.sleep(PEER_TIMEOUT_SECONDS)
            raise PeerUnavailable(address)
        return node


class FakeStoreLink(FakeStore):
    """The fleet's store as one entry reaches it."""

    def __init__(self, *, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    async def get(self, key: str) -> StoredValue | None:
        await self._check()
        return await self._fleet.store.get(key)

    async def watch(
        self, *, key: str, after: int, wait_seconds: float
    ) -> StoredValue | None:
        await self._check()
        stored = await self._fleet.store.watch(
            key=key, after=after, wait_seconds=wait_seconds
        )
        await self._check()
        return stored

    async def _check(self) -> None:
        await self._fleet.pass_through(self._name)
        if self._name in self._fleet.cut | self._fleet.storeless:
            raise StoreUnavailable


def _through_json(value: Any) -> Any:
    return orjson.loads(orjson.dumps(value))


def run_fleet(
    scenario: Callable[[Fleet], Awaitable[ResultT]], seed: int = 1
) -> ResultT:
    """
    Run a scenario in virtual time.

    :param seed: of the fleet's random sources and of the order of ready tasks.
    """
    # Trio shuffles ready tasks unless told so, by the hook that hypothesis uses.
    trio_run._hypothesis_plugin_setup()
    trio_run._r.seed(seed)

    async def main() -> ResultT:
        async with anyio.create_task_group() as tasks:
            result = await scenario(Fleet(tasks, seed))
            tasks.cancel_scope.cancel()
        return result

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
