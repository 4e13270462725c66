"""In-memory fleet of entries with a store, an instance list and a network."""

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


def document_json(revision: int, content: str = "a") -> dict[str, Any]:
    return {"revision": revision, "content_hash": f"{content}{revision}"}


def parse_document(value: Any) -> AcceptedDocument:
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


def make_member(instance: str, domain: str = "a", incarnation: int = 1) -> MemberRecord:
    return MemberRecord(
        instance=instance,
        incarnation=incarnation,
        state=MemberState.LIVE,
        address=f"{instance}:80",
        peer_address=instance,
        failure_domain=domain,
    )


def make_backend(
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


class VersionedNamesTopic:
    """Gossip topic of names with version numbers; the highest version wins."""

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
    """Monotonic and wall time in virtual time, with an offset of the wall time."""

    ahead_seconds: float = 0.0

    def monotonic_seconds(self) -> float:
        return anyio.current_time()

    def wall_seconds(self) -> float:
        return 1_800_000_000.0 + anyio.current_time() + self.ahead_seconds


class FakeStore:
    """Store with one key, injected faults and a count of calls."""

    def __init__(self) -> None:
        self.stored: StoredValue | None = None
        self.is_available = True
        self.ignores_watches = False
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
        if not self.is_available:
            raise StoreUnavailable
        return self.stored

    async def watch(
        self, *, key: str, after: int, wait_seconds: float
    ) -> StoredValue | None:
        self.calls += 1
        if self.ignores_watches:
            await anyio.sleep_forever()
        with anyio.move_on_after(wait_seconds):
            while self.stored is None or self.stored.mod_revision <= after:
                await self.changed.wait()
            return self.stored
        if not self.is_available:
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
class FakeEntry:
    """One entry, with the controllers of its fleet state."""

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
    Entries by name, with the faults injected between them.

    :ivar paused: entries whose calls wait and which answer no calls.
    :ivar partitioned: entries that can reach nothing and can't be reached.
    :ivar without_store: entries that can't reach the store.
    :ivar without_peers: entries that can reach no peer and can't be reached by any.
    :ivar without_list: entries that can't reach the instance list.
    :ivar loss_share: share of calls between peers that are lost.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup, seed: int = 1) -> None:
        self.tasks = tasks
        self.rng = Random(seed)
        self.store = FakeStore()
        self.entries: dict[str, FakeEntry] = {}
        self.instance_topics: dict[str, InstanceTopic] = {}
        self.clocks: dict[str, VirtualClock] = {}
        self.listed: dict[str, ListedInstance] = {}
        self.paused: set[str] = set()
        self.partitioned: set[str] = set()
        self.without_store: set[str] = set()
        self.without_peers: set[str] = set()
        self.without_list: set[str] = set()
        self.loss_share = 0.0
        self.duplicate_pushes = False
        self.is_list_available = True
        self.document_fetches = 0
        self.events: list[tuple[str, str, dict[str, Any]]] = []

    def start(
        self,
        name: str,
        domain: str = "a",
        topics: tuple[TopicSpec, ...] = (),
        parse: Callable[[Any], AcceptedDocument] = parse_document,
        incarnation: int | None = None,
    ) -> FakeEntry:
        started_ms = 1_000 + int(anyio.current_time() * 1000)
        own = make_member(name, domain, incarnation or started_ms)
        network = FakeNetwork(fleet=self, name=name)
        outbox = UpdateOutbox()

        def log(event: str, **fields: Any) -> None:
            self.events.append((name, event, fields))

        clock = VirtualClock()
        instances = InstanceTopic(source=network, clock=clock)
        common: dict[str, Any] = {
            "clock": clock,
            "rng": Random(self.rng.random()),
            "log": log,
        }
        membership = MembershipController(
            own=own, instance_list=instances, outbox=outbox, **common
        )
        configuration = ConfigurationController(
            environment=ENVIRONMENT,
            store=network.store(),
            peers=network,
            membership=membership,
            outbox=outbox,
            read_document=parse,
            **common,
        )
        gossip = GossipController(
            membership=membership,
            configuration=configuration,
            peers=network,
            outbox=outbox,
            rng=Random(self.rng.random()),
            topics=(*topics, self.instance_topic_spec(instances)),
            log=log,
        )
        self.instance_topics[name], self.clocks[name] = instances, clock
        instances.membership = membership
        instances.publish = gossip.publish
        entry = FakeEntry(
            record=own,
            membership=membership,
            configuration=configuration,
            gossip=gossip,
        )
        self.entries[name] = entry
        self.listed[name] = ListedInstance(
            instance=name,
            role=InstanceRole.ENTRY,
            service=None,
            address=own.address,
            peer_address=name,
            failure_domain=domain,
            state=InstanceState.LIVE,
        )
        self.tasks.start_soon(entry.run)
        return entry

    @staticmethod
    def instance_topic_spec(instances: InstanceTopic) -> TopicSpec:
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
        self.entries.pop(name).scope.cancel()

    def watchers(self) -> list[str]:
        entries = self.entries.items()
        return [name for name, entry in entries if entry.configuration.should_watch()]

    def revisions(self) -> set[int]:
        return {entry.revision for entry in self.entries.values()}

    def count_events(self, event: str) -> int:
        return sum(1 for _, name, _ in self.events if name == event)

    async def wait_until_active(self, revision: int, within: float) -> float:
        """Wait until `revision` is active on all entries; return the seconds taken."""
        start = anyio.current_time()
        while self.revisions() != {revision}:
            assert anyio.current_time() - start < within, self.revision_by_entry()
            await anyio.sleep(0.05)
        return anyio.current_time() - start

    def revision_by_entry(self) -> dict[str, int]:
        return {name: entry.revision for name, entry in self.entries.items()}

    async def wait_while_paused(self, name: str) -> None:
        """Delay a call of the entry `name` while it is paused."""
        while name in self.paused:
            await anyio.sleep(0.05)


class FakeNetwork:
    """Network of one entry: its client of the instance list and of its peers."""

    def __init__(self, *, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def store(self) -> "FakeStoreClient":
        return FakeStoreClient(fleet=self._fleet, name=self._name)

    async def fetch(self) -> tuple[ListedInstance, ...]:
        await self._fleet.wait_while_paused(self._name)
        unreachable = self._fleet.partitioned | self._fleet.without_list
        if self._name in unreachable or not self._fleet.is_list_available:
            raise InstanceListUnavailable
        return tuple(self._fleet.listed.values())

    async def exchange(self, *, address: str, message: Exchange) -> Exchange:
        sent = _round_trip(exchange_to_json(message))
        entry = await self._reach(address)
        answer = entry.gossip.handle_exchange(exchange_from_json(sent))
        return exchange_from_json(_round_trip(exchange_to_json(answer)))

    async def push(self, *, address: str, message: Push) -> PushReply:
        sent = _round_trip(push_to_json(message))
        entry = await self._reach(address)
        for _ in range(2 if self._fleet.duplicate_pushes else 1):
            answer = entry.gossip.handle_push(push_from_json(sent))
        return push_reply_from_json(_round_trip(push_reply_to_json(answer)))

    async def fetch_document(self, *, address: str) -> Any:
        entry = await self._reach(address)
        self._fleet.document_fetches += 1
        encoded = entry.configuration.view.encoded
        return None if encoded is None else orjson.loads(encoded)

    async def _reach(self, address: str) -> FakeEntry:
        fleet = self._fleet
        await fleet.wait_while_paused(self._name)
        await anyio.sleep(0.002)
        lost = fleet.rng.random() < fleet.loss_share
        unreachable = {self._name, address} & (fleet.partitioned | fleet.without_peers)
        entry = fleet.entries.get(address)
        if entry is None or lost or unreachable or address in fleet.paused:
            await anyio.sleep(PEER_TIMEOUT_SECONDS)
            raise PeerUnavailable(address)
        return entry


class FakeStoreClient(FakeStore):
    """Client of the fleet's store for one entry."""

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
        await self._fleet.wait_while_paused(self._name)
        if self._name in self._fleet.partitioned | self._fleet.without_store:
            raise StoreUnavailable


def _round_trip(value: Any) -> Any:
    return orjson.loads(orjson.dumps(value))


def run_fleet(
    scenario: Callable[[Fleet], Awaitable[ResultT]], seed: int = 1
) -> ResultT:
    """
    Run a scenario in virtual time.

    :param seed: seed of the fleet's random sources and of the order of ready tasks.
    """
    # Trio shuffles ready tasks with its own random source. This hook, made for
    # hypothesis, sorts the tasks first, so that a seed makes the order repeatable.
    trio_run._hypothesis_plugin_setup()
    trio_run._r.seed(seed)

    async def main() -> ResultT:
        async with anyio.create_task_group() as tasks:
            result = await scenario(Fleet(tasks, seed))
            tasks.cancel_scope.cancel()
        return result

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
