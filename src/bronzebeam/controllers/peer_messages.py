"""Messages between entry instances, with their JSON forms."""

from typing import Any, Final

from attrs import frozen

from bronzebeam.controllers.document_difference import Change
from bronzebeam.controllers.message_reader import MessageReader
from bronzebeam.routing.membership_state import (
    BUCKETS,
    MAX_GONE_RECORDS,
    MAX_MEMBERS,
    MemberRecord,
    MemberState,
)

MAX_RECORDS: Final = MAX_MEMBERS + MAX_GONE_RECORDS
MAX_TOPICS: Final = 16
MAX_CHANGES: Final = 4096
MAX_PATH_PARTS: Final = 32
MAX_MESSAGE_BYTES: Final = 1_000_000
MAX_DOCUMENT_BYTES: Final = 1_100_000


@frozen(kw_only=True)
class ConfigurationUpdate:
    """
    Announcement of an accepted document, with the changes from the one before it.

    :ivar base_revision: revision that `changes` apply to; 0 if there are no changes
        and the document must be fetched.
    :ivar base_checksum: checksum of the JSON that `changes` apply to.
    :ivar checksum: checksum of the JSON after the changes.
    """

    revision: int
    content_hash: str
    base_revision: int = 0
    base_checksum: str = ""
    checksum: str = ""
    changes: tuple[Change, ...] = ()


@frozen(kw_only=True)
class TopicMessage:
    """
    Data of one topic.

    :ivar digest: summary of the sender's items, in the topic's own form.
    :ivar payload: items that the receiver lacks; None if there are none.
    """

    name: str
    digest: Any = None
    payload: Any = None


@frozen(kw_only=True)
class Exchange:
    """
    Message of a gossip exchange, used for requests and replies.

    :ivar revision: active configuration revision; 0 if there is none.
    :ivar store_failing: whether the sender watches the store and its calls fail.
    :ivar records_digest: digest of all membership records of the sender.
    :ivar buckets: digest of each bucket of records, sent once `records_digest` is
        known to differ.
    """

    sender: MemberRecord
    revision: int
    content_hash: str
    store_failing: bool
    records_digest: str
    buckets: tuple[str, ...] = ()
    records: tuple[MemberRecord, ...] = ()
    topics: tuple[TopicMessage, ...] = ()


@frozen(kw_only=True)
class Push:
    """Updates that are sent to peers at once; each part may be absent."""

    sender: MemberRecord
    configuration: ConfigurationUpdate | None = None
    records: tuple[MemberRecord, ...] = ()
    topics: tuple[TopicMessage, ...] = ()


@frozen(kw_only=True)
class PushReply:
    """Reply to a push, with the active revision before the push was applied."""

    instance: str
    revision: int


def exchange_to_json(message: Exchange) -> dict[str, Any]:
    """Return the JSON form of an exchange."""
    return {
        "sender": _record_to_json(message.sender),
        "revision": message.revision,
        "content_hash": message.content_hash,
        "store_failing": message.store_failing,
        "records_digest": message.records_digest,
        "buckets": list(message.buckets),
        "records": [_record_to_json(item) for item in message.records],
        "topics": [_topic_to_json(item) for item in message.topics],
    }


def exchange_from_json(value: Any) -> Exchange:
    """
    Parse and validate an exchange.

    :raises FindingsError: with all validation errors.
    """
    reader = MessageReader(value=value)
    message = Exchange(
        sender=_sender(reader),
        revision=reader.integer("revision"),
        content_hash=reader.text("content_hash", allow_empty=True),
        store_failing=reader.boolean("store_failing"),
        records_digest=reader.text("records_digest"),
        buckets=_buckets(reader),
        records=_records(reader),
        topics=_topics(reader),
    )
    reader.raise_findings("exchange")
    return message


def push_to_json(message: Push) -> dict[str, Any]:
    """Return the JSON form of a push."""
    update = message.configuration
    return {
        "sender": _record_to_json(message.sender),
        "configuration": None if update is None else _configuration_to_json(update),
        "records": [_record_to_json(item) for item in message.records],
        "topics": [_topic_to_json(item) for item in message.topics],
    }


def push_from_json(value: Any) -> Push:
    """
    Parse and validate a push.

    :raises FindingsError: with all validation errors.
    """
    reader = MessageReader(value=value)
    update = reader.nested("configuration")
    message = Push(
        sender=_sender(reader),
        configuration=None if update is None else _configuration(update),
        records=_records(reader),
        topics=_topics(reader),
    )
    reader.raise_findings("push")
    return message


def push_reply_to_json(message: PushReply) -> dict[str, Any]:
    """Return the JSON form of the reply to a push."""
    return {"instance": message.instance, "revision": message.revision}


def push_reply_from_json(value: Any) -> PushReply:
    """
    Parse and validate the reply to a push.

    :raises FindingsError: with all validation errors.
    """
    reader = MessageReader(value=value)
    message = PushReply(
        instance=reader.text("instance"), revision=reader.integer("revision")
    )
    reader.raise_findings("push reply")
    return message


def _record_to_json(record: MemberRecord) -> dict[str, Any]:
    return {
        "instance": record.instance,
        "incarnation": record.incarnation,
        "state": record.state.value,
        "address": record.address,
        "peer_address": record.peer_address,
        "failure_domain": record.failure_domain,
        "ended_ms": record.ended_ms,
    }


def _record(reader: MessageReader) -> MemberRecord:
    state = reader.text("state")
    if state not in {item.value for item in MemberState}:
        reader.add_finding("is not a member state", "state")
        state = MemberState.GONE.value
    return MemberRecord(
        instance=reader.text("instance"),
        incarnation=reader.integer("incarnation"),
        state=MemberState(state),
        address=reader.text("address", allow_empty=True),
        peer_address=reader.text("peer_address"),
        failure_domain=reader.text("failure_domain", allow_empty=True),
        ended_ms=reader.integer("ended_ms"),
    )


def _sender(reader: MessageReader) -> MemberRecord:
    sender = reader.nested("sender")
    if sender is None:
        reader.add_finding("is absent", "sender")
        sender = MessageReader(value={})
    return _record(sender)


def _records(reader: MessageReader) -> tuple[MemberRecord, ...]:
    return tuple(map(_record, reader.objects("records", max_items=MAX_RECORDS)))


def _buckets(reader: MessageReader) -> tuple[str, ...]:
    items = reader.items("buckets", max_items=BUCKETS)
    if len(items) not in (0, BUCKETS) or not all(
        isinstance(item, str) and len(item) <= 64 for item in items
    ):
        reader.add_finding(
            f"is neither empty nor a list of {BUCKETS} digests", "buckets"
        )
        return ()
    return tuple(items)


def _topic_to_json(topic: TopicMessage) -> dict[str, Any]:
    value = {"name": topic.name, "digest": topic.digest, "payload": topic.payload}
    return {key: item for key, item in value.items() if item is not None}


def _topics(reader: MessageReader) -> tuple[TopicMessage, ...]:
    return tuple(
        TopicMessage(
            name=item.text("name"),
            digest=item.any("digest"),
            payload=item.any("payload"),
        )
        for item in reader.objects("topics", max_items=MAX_TOPICS)
    )


def _configuration_to_json(update: ConfigurationUpdate) -> dict[str, Any]:
    return {
        "revision": update.revision,
        "content_hash": update.content_hash,
        "base_revision": update.base_revision,
        "base_checksum": update.base_checksum,
        "checksum": update.checksum,
        "changes": [
            {"path": list(item.path), "value": item.value, "removed": item.removed}
            for item in update.changes
        ],
    }


def _configuration(reader: MessageReader) -> ConfigurationUpdate:
    return ConfigurationUpdate(
        revision=reader.integer("revision"),
        content_hash=reader.text("content_hash"),
        base_revision=reader.integer("base_revision"),
        base_checksum=reader.text("base_checksum", allow_empty=True),
        checksum=reader.text("checksum", allow_empty=True),
        changes=tuple(map(_change, reader.objects("changes", max_items=MAX_CHANGES))),
    )


def _change(reader: MessageReader) -> Change:
    path = reader.items("path", max_items=MAX_PATH_PARTS)
    if not all(type(part) in (str, int) for part in path):
        reader.add_finding("is not a path of keys and indexes", "path")
        path = []
    return Change(
        path=tuple(path), value=reader.any("value"), removed=reader.boolean("removed")
    )
