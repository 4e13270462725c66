"""Client of the platform's key-value store."""

import base64
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final

import orjson
from attrs import define, evolve, field

from bronzebeam.decoding import DECODE_ERRORS, read_count
from bronzebeam.gateway.records import (
    Change,
    EvacuationRecord,
    HistoryLost,
    InstanceRecord,
    Lease,
    RecordKind,
    StoreSnapshot,
    StoreUnavailable,
    SuspectRecord,
    snapshot_from_changes,
)
from bronzebeam.gateway.store_era import StoreEra
from bronzebeam.platform.configuration import (
    MalformedRecord,
    decode_configuration,
    decode_version,
)
from bronzebeam.platform.constants import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    INSTANCE_PREFIX,
    REPLICA_PREFIX,
    SETTLED_PREFIX,
    SUSPECT_PREFIX,
)
from bronzebeam.platform.instance_codec import decode_instance, encode_instance
from bronzebeam.platform.replica_codec import decode_replica
from bronzebeam.platform.suspect_codec import (
    decode_suspect,
    encode_suspect,
    suspect_key,
)
from bronzebeam.routing.routes import RouteTable
from bronzebeam.socket_address import SocketAddress
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.transport.http_call import CallFailed, HttpCallClient
from bronzebeam.transport.http_reply import HttpReply
from bronzebeam.units import MS_PER_SECOND

# Even a slow store responds within a few hundred milliseconds.
CALL_TIMEOUT_SECONDS: Final = 1.5
WATCH_TIMEOUT_MARGIN_SECONDS: Final = 1.5  # added to the requested wait
WATCHED_PREFIX: Final = ""  # a single watch covers all keys
# Costs a tenth of a normal read and is not rate-limited.
STALE_READ: Final = "&staleOk=1"
EMPTY_PREFIX: Final = "none/"  # has no keys, which keeps the response short
OK: Final = 200
GONE: Final = 410
NOT_FOUND: Final = 404
MAX_LOGGED_CAUSE_CHARACTERS: Final = 200
NO_TABLES: Final[Mapping[int, RouteTable]] = MappingProxyType({})
MAX_PUTS: Final = 32  # limit of the store for one transaction
# Header of each response; rises by one when the store returns from an older copy.
ERA_HEADER: Final = b"store-era"


@define(kw_only=True, eq=False, repr=False)
class PlatformStore:
    """
    Client of the platform's store; implements `GatewayStore`.

    Records that can't be decoded are logged with the reason and skipped.
    """

    client: HttpCallClient
    log: DecisionLog
    era: StoreEra
    _malformed_keys: set[str] = field(factory=set)

    async def read_snapshot(self, *, may_be_stale: bool = False) -> StoreSnapshot:
        """Read all records, page by page."""
        changes: list[Change] = []
        page_revisions: list[int] = []
        era = self.era.number
        after = ""
        while True:
            query = f"pathPrefix={WATCHED_PREFIX}"
            if may_be_stale:
                query += STALE_READ
            if after:
                query += f"&after={_quote(after)}"
            page = _parse_object(await self._request("GET", f"/kv-range?{query}"))
            items = _list_field(page, "items")
            changes.extend(self._decode_changes(items))
            page_revisions.append(_int_field(page, "atRevision"))
            if len(page_revisions) == 1:
                era = self.era.number
            elif era != self.era.number:
                raise StoreUnavailable("the store was restored between two pages")
            if not page.get("hasMore") or not items:
                oldest, newest = min(page_revisions), max(page_revisions)
                self.log.event(
                    "store_read",
                    stale=may_be_stale,
                    pages=len(page_revisions),
                    oldest_revision=oldest,
                    newest_revision=newest,
                    records=len(changes),
                )
                # A later page may be older than an earlier one if reads are stale.
                return snapshot_from_changes(
                    changes, revision=oldest, newest_revision=newest, era=era
                )
            after = _key_field(items[-1])

    async def read_configuration(self) -> RouteTable | None:
        """Read the latest configuration."""
        page = _parse_object(
            await self._request("GET", f"/kv-range?pathPrefix={CONFIGURATION_KEY}")
        )
        changes = self._decode_changes(_list_field(page, "items"))
        tables = [item.value for item in changes if isinstance(item.value, RouteTable)]
        return tables[0] if tables else None

    async def watch(
        self, *, after: int, wait_seconds: float
    ) -> tuple[int, list[Change]]:
        """Wait for changes after a revision."""
        era = self.era.number
        wait_ms = int(wait_seconds * MS_PER_SECOND)
        query = f"pathPrefix={WATCHED_PREFIX}&after={after}&waitTimeoutMs={wait_ms}"
        reply = await self._request(
            "GET",
            f"/kv-watch?{query}",
            timeout_seconds=wait_seconds + WATCH_TIMEOUT_MARGIN_SECONDS,
            accepted=(OK, GONE),
        )
        if reply.status == GONE:
            raise HistoryLost(f"no history after revision {after}")
        if era is not None and era != self.era.number:
            raise HistoryLost(f"the store was restored; era {self.era.number}")
        response = _parse_object(reply)
        events, tables = _without_replaced_configurations(
            _list_field(response, "events")
        )
        revision = _int_field(response, "atRevision")
        if revision < after:
            raise HistoryLost(f"the store went back from revision {after}")
        if not events and revision > after:
            # The watch covers all keys, so every revision should have an event.
            raise HistoryLost(f"no event between revisions {after} and {revision}")
        return revision, list(self._decode_changes(events, tables))

    async def latest_revision(self) -> int:
        """Return the store's revision."""
        query = f"pathPrefix={EMPTY_PREFIX}"
        return _int_field(
            _parse_object(await self._request("GET", f"/kv-range?{query}")),
            "atRevision",
        )

    async def register(self, *, record: InstanceRecord, ttl_seconds: float) -> Lease:
        """Write an instance's record under a new lease and return the lease."""
        lease = await self._grant_lease(ttl_seconds)
        revision = await self._write(lease, [_put_instance(record, lease)])
        return evolve(lease, revision=revision)

    async def has_replaced_registration(self, *, instance: str, lease: Lease) -> bool:
        """Whether the registration under a lease replaced one that had settled."""
        item = await self._read_item(INSTANCE_PREFIX + instance)
        if item is None or item.get("leaseId") != lease.number:
            return False
        # A later write under the lease leaves the revision of the creation as it is.
        created_revision = _int_field(item, "createdRevision")
        if created_revision >= lease.revision:
            return False
        settled = await self._read_item(SETTLED_PREFIX + instance)
        return (
            settled is not None
            and lease.era == self.era.number
            and settled.get("value") == _put_settled(instance, lease)["value"]
            and created_revision < _int_field(settled, "revision") < lease.revision
        )

    async def record_settled(self, *, instance: str, lease: Lease) -> None:
        """Write that a registration has settled, unless its lease has ended."""
        if lease.era == self.era.number:
            await self._request(
                "POST",
                "/kv-txn",
                body={"putOps": [_put_settled(instance, lease)]},
                accepted=(OK, NOT_FOUND),
            )

    async def _read_item(self, key: str) -> dict[str, Any] | None:
        page = _parse_object(
            await self._request("GET", f"/kv-range?pathPrefix={_quote(key)}")
        )
        for item in _list_field(page, "items"):
            if _key_field(item) == key:
                found: dict[str, Any] = item
                return found
        return None

    async def update_registration(
        self, *, record: InstanceRecord, lease: Lease
    ) -> bool:
        """Replace an instance's record; False if its lease has ended."""
        if lease.era != self.era.number:
            return False
        reply = await self._request(
            "POST",
            "/kv-txn",
            body={"putOps": [_put_instance(record, lease)]},
            accepted=(OK, NOT_FOUND),
        )
        return reply.status == OK and lease.era == self.era.number

    async def report_suspects(
        self, *, records: Sequence[SuspectRecord], ttl_seconds: float
    ) -> None:
        """Write reports under a lease that is never renewed, so that they expire."""
        lease = await self._grant_lease(ttl_seconds)
        puts = [
            _put_operation(suspect_key(item), encode_suspect(item), lease.number)
            for item in records
        ]
        for start in range(0, len(puts), MAX_PUTS):
            await self._write(lease, puts[start : start + MAX_PUTS])

    async def renew_lease(self, *, lease: Lease) -> bool:
        """Renew a lease; False if it has ended, or was granted in an earlier era."""
        if lease.era != self.era.number:
            return False
        reply = await self._request(
            "POST", f"/kv-keep/{lease.number}", accepted=(OK, NOT_FOUND)
        )
        return reply.status == OK and lease.era == self.era.number

    async def release_lease(self, *, lease: Lease) -> None:
        """End a lease, unless it was granted in an earlier era."""
        if lease.era != self.era.number:
            return
        await self._request(
            "DELETE", f"/kv-lease-end/{lease.number}", accepted=(OK, NOT_FOUND)
        )

    @property
    def malformed_count(self) -> int:
        """Return the number of records known to be in the store that can't be read."""
        return len(self._malformed_keys)

    def set_address(self, address: SocketAddress) -> None:
        """Use another address for all further calls."""
        self.client.host, self.client.port = address.address, address.port
        self.client.close()

    def close(self) -> None:
        """Close the connections."""
        self.client.close()

    async def _grant_lease(self, ttl_seconds: float) -> Lease:
        """Return a new lease."""
        body = {"ttlMs": int(ttl_seconds * MS_PER_SECOND)}
        response = _parse_object(await self._request("POST", "/kv-lease", body=body))
        return Lease(number=_int_field(response, "leaseId"), era=self.era.number)

    async def _write(self, lease: Lease, puts: Sequence[dict[str, Any]]) -> int:
        """Write keys under a lease; return the store's revision."""
        reply = await self._request("POST", "/kv-txn", body={"putOps": puts})
        if lease.era != self.era.number:
            raise StoreUnavailable("the store was restored after it granted the lease")
        return _int_field(_parse_object(reply), "revision")

    async def _request(
        self,
        method: str,
        target: str,
        *,
        body: Any = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        accepted: tuple[int, ...] = (OK,),
    ) -> HttpReply:
        try:
            reply = await self.client.call(
                method,
                target,
                body=None if body is None else orjson.dumps(body),
                timeout_seconds=timeout_seconds,
            )
        except CallFailed as error:
            raise StoreUnavailable(f"{target}: {error}") from error
        self._observe_era(target, reply)
        if reply.status not in accepted:
            raise StoreUnavailable(f"{target}: status {reply.status}")
        return reply

    def _observe_era(self, target: str, reply: HttpReply) -> None:
        value = next((v for name, v in reply.headers if name == ERA_HEADER), None)
        if value is None:
            return
        try:
            era = read_count(value)
        except ValueError as error:
            raise StoreUnavailable(f"{target}: era {value[:40]!r}: {error}") from error
        if not self.era.observe(era):
            raise StoreUnavailable(f"{target}: response from era {era}")

    def _decode_changes(
        self, items: Iterable[Any], tables: Mapping[int, RouteTable] = NO_TABLES
    ) -> Iterable[Change]:
        """
        Decode items; those that can't be decoded are logged.

        :param tables: configurations that are decoded already, by index.
        """
        for index, item in enumerate(items):
            key = _key_field(item)
            table = tables.get(index)
            try:
                if table is None:
                    change = decode_change(key, item)
                else:
                    change = Change(kind=RecordKind.CONFIGURATION, name="", value=table)
            except MalformedRecord as error:
                self._log_malformed(key, error)
                change = _deletion(key)
            else:
                self._malformed_keys.discard(key)
            if change is not None:
                yield change

    def _log_malformed(self, key: str, error: MalformedRecord) -> None:
        if key not in self._malformed_keys:
            self._malformed_keys.add(key)
            cause = str(error)[:MAX_LOGGED_CAUSE_CHARACTERS]
            self.log.event("malformed_record_ignored", key=key, cause=cause)


def decode_change(key: str, item: dict[str, Any]) -> Change | None:
    """
    Decode one item of the store; None if its key is of no known kind.

    :raises MalformedRecord: if the value can't be decoded.
    """
    # "compacted" means that the key was deleted, not that history was compacted.
    if item.get("compacted"):
        return _deletion(key)
    if key.startswith(INSTANCE_PREFIX):
        name = key.removeprefix(INSTANCE_PREFIX)
        return Change(
            kind=RecordKind.INSTANCE,
            name=name,
            value=decode_instance(name, _decode_value(item)),
        )
    if key.startswith(SUSPECT_PREFIX):
        name = key.removeprefix(SUSPECT_PREFIX)
        return Change(
            kind=RecordKind.SUSPECT,
            name=name,
            value=decode_suspect(name, _decode_value(item)),
        )
    if key.startswith(EVACUATION_PREFIX):
        domain = key.removeprefix(EVACUATION_PREFIX)
        if not domain:
            return None
        return Change(
            kind=RecordKind.EVACUATION,
            name=domain,
            value=EvacuationRecord(failure_domain=domain),
        )
    if key == CONFIGURATION_KEY:
        return Change(
            kind=RecordKind.CONFIGURATION,
            name="",
            value=decode_configuration(_decode_value(item)),
        )
    if key.startswith(REPLICA_PREFIX):
        name = key.removeprefix(REPLICA_PREFIX)
        return Change(
            kind=RecordKind.REPLICA,
            name=name,
            value=decode_replica(
                name,
                _decode_value(item),
                is_first="revision" in item
                and item.get("createdRevision") == item["revision"],
            ),
        )
    return None


def _without_replaced_configurations(
    items: list[Any],
) -> tuple[list[Any], Mapping[int, RouteTable]]:
    """
    Leave out configurations that a later one of no lower version replaces.

    Each takes time and memory, and a store may return many at once.

    :return: the other items, and the configurations among them that had to be decoded,
        by index.
    """
    indexes = [
        index
        for index, item in enumerate(items)
        if _key_field(item) == CONFIGURATION_KEY
    ]
    replaced = set()
    latest_version: int | None = None
    if len(indexes) < 2:
        return items, NO_TABLES
    decoded: dict[int, RouteTable] = {}
    for index in reversed(indexes):
        try:
            value = _decode_value(items[index])
            if latest_version is not None and decode_version(value) <= latest_version:
                replaced.add(index)
            else:
                decoded[index] = decode_configuration(value)
                latest_version = decoded[index].version
        except MalformedRecord:
            # It replaces none, and is logged when it is decoded again.
            continue
    kept: list[Any] = []
    tables: dict[int, RouteTable] = {}
    for index, item in enumerate(items):
        if index in replaced:
            continue
        if index in decoded:
            tables[len(kept)] = decoded[index]
        kept.append(item)
    return kept, tables


def _deletion(key: str) -> Change | None:
    for prefix, kind in (
        (INSTANCE_PREFIX, RecordKind.INSTANCE),
        (REPLICA_PREFIX, RecordKind.REPLICA),
        (SUSPECT_PREFIX, RecordKind.SUSPECT),
        (EVACUATION_PREFIX, RecordKind.EVACUATION),
    ):
        if key.startswith(prefix):
            return Change(
                kind=kind,
                name=key.removeprefix(prefix),
            )
    return None


def _put_instance(record: InstanceRecord, lease: Lease) -> dict[str, Any]:
    return _put_operation(
        INSTANCE_PREFIX + record.instance, encode_instance(record), lease.number
    )


def _put_settled(instance: str, lease: Lease) -> dict[str, Any]:
    # What an older copy brings back is of an earlier era.
    return _put_operation(
        SETTLED_PREFIX + instance, str(lease.era).encode(), lease.number
    )


def _put_operation(key: str, value: bytes, lease: int) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "leaseId": lease,
    }


def _decode_value(item: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(item["value"], validate=True)
    except DECODE_ERRORS as error:
        raise MalformedRecord(f"value: {error!r}") from error


def _quote(key: str) -> str:
    # Imported on first use to shorten start-up; most stores need only one page.
    from urllib.parse import quote

    return quote(key, safe="")


def _parse_object(reply: HttpReply) -> dict[str, Any]:
    try:
        value = orjson.loads(reply.body)
    except ValueError as error:
        raise StoreUnavailable(f"the response is not valid JSON: {error}") from error
    if not isinstance(value, dict):
        raise StoreUnavailable("the response is not a JSON object")
    return value


def _list_field(value: dict[str, Any], name: str) -> list[Any]:
    items = value.get(name, [])
    if not isinstance(items, list):
        raise StoreUnavailable(f"{name} is not a list")
    return items


def _int_field(value: dict[str, Any], name: str) -> int:
    number = value.get(name)
    if not isinstance(number, int) or isinstance(number, bool):
        raise StoreUnavailable(f"{name} is not an integer")
    return number


def _key_field(item: Any) -> str:
    key = item.get("key") if isinstance(item, dict) else None
    if not isinstance(key, str):
        raise StoreUnavailable("an item has no key")
    return key
