"""The message by which an instance asks a peer for tokens of an account."""

import math
from typing import Any, Final, Protocol

import orjson
from attrs import define, frozen

from bronzebeam.gateway.connection_pool import ConnectionPool
from bronzebeam.gateway.pooled_send import PooledSend
from bronzebeam.routing.quotas import (
    MAX_ASKED_COUNT,
    MAX_TOKEN_LIFETIME_SECONDS,
    QuotaAsk,
    QuotaGrant,
)
from bronzebeam.transport.http_reply import (
    ClientConnection,
    ExchangeFailure,
    HttpReply,
)
from bronzebeam.units import MS_PER_SECOND

QUOTA_PATH: Final = b"/quota"
NOT_FOUND: Final = 404
INSTANCE_FIELD: Final = "instance"
MAKES_WAY_FIELD: Final = "make_way"
MAX_NAME_CHARACTERS: Final = 1_024
MAX_RETRY_AFTER_MS: Final = 60_000.0
# A peer that is an earlier build answers 404 at this path.
NOT_SUPPORTED: Final = "not_supported"


class MalformedQuotaMessage(Exception):
    """A request for tokens, or the answer to one, can't be decoded."""


def encode_ask(ask: QuotaAsk) -> bytes:
    """Encode a request for tokens; fields with their default value are left out."""
    fields: dict[str, Any] = {"account": ask.account, "wanted": ask.wanted_count}
    if ask.waiting_count != ask.wanted_count:
        fields["waiting"] = ask.waiting_count
    if ask.returned_count:
        fields["returned"] = ask.returned_count
    return orjson.dumps(fields)


@frozen(kw_only=True)
class Introduction:
    """
    The question of an instance whether a peer knows it.

    :ivar makes_way: the peer is asked to leave accounts to it, of which it is the first
        in rank.
    """

    instance: str
    makes_way: bool


def encode_introduction(introduction: Introduction) -> bytes:
    """Encode the question whether a peer knows this instance."""
    fields: dict[str, Any] = {INSTANCE_FIELD: introduction.instance}
    if introduction.makes_way:
        fields[MAKES_WAY_FIELD] = True
    return orjson.dumps(fields)


def decode_question(body: bytes) -> QuotaAsk | Introduction:
    """
    Decode a request for tokens, or the question of an instance whether it is known.

    :raises MalformedQuotaMessage: if it is not valid.
    """
    fields = _decode_object(body)
    instance = fields.get(INSTANCE_FIELD)
    if isinstance(instance, str) and "account" not in fields:
        return Introduction(
            instance=instance, makes_way=fields.get(MAKES_WAY_FIELD) is True
        )
    account = fields.get("account")
    if not isinstance(account, str) or not 0 < len(account) <= MAX_NAME_CHARACTERS:
        raise MalformedQuotaMessage("account")
    wanted = _read_count(fields, "wanted", 0)
    return QuotaAsk(
        account=account,
        wanted_count=wanted,
        waiting_count=min(wanted, _read_count(fields, "waiting", wanted)),
        returned_count=_read_count(fields, "returned", 0),
    )


def encode_grant(grant: QuotaGrant) -> bytes:
    """Encode the answer to a request for tokens."""
    return orjson.dumps(
        {
            "granted": grant.granted_count,
            "lifetime_ms": round(grant.lifetime_seconds * MS_PER_SECOND),
            "retry_after_ms": math.ceil(grant.retry_after_seconds * MS_PER_SECOND),
            "as_owner": grant.as_owner,
        }
    )


def decode_grant(body: bytes, *, wanted_count: int) -> QuotaGrant:
    """
    Decode the answer to a request for tokens.

    :param wanted_count: the number that was asked for; more are not accepted.
    :raises MalformedQuotaMessage: if it is not valid.
    """
    fields = _decode_object(body)
    lifetime_ms = _read_number(fields, "lifetime_ms")
    return QuotaGrant(
        granted_count=min(wanted_count, _read_count(fields, "granted", 0)),
        lifetime_seconds=min(lifetime_ms / MS_PER_SECOND, MAX_TOKEN_LIFETIME_SECONDS),
        retry_after_seconds=min(
            _read_number(fields, "retry_after_ms"), MAX_RETRY_AFTER_MS
        )
        / MS_PER_SECOND,
        as_owner=fields.get("as_owner") is True,
    )


def _decode_object(body: bytes) -> dict[str, Any]:
    try:
        fields = orjson.loads(body)
    except ValueError as error:
        raise MalformedQuotaMessage(str(error)) from error
    if not isinstance(fields, dict):
        raise MalformedQuotaMessage("not an object")
    return fields


def _read_number(fields: dict[str, Any], name: str) -> float:
    value = fields.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise MalformedQuotaMessage(name)
    return float(value)


def _read_count(fields: dict[str, Any], name: str, default: int) -> int:
    if name not in fields:
        return default
    return int(min(_read_number(fields, name), MAX_ASKED_COUNT))


class QuotaMessageHandler(Protocol):
    """Is notified of the end of a request for tokens."""

    def on_quota_answer(self, message: "QuotaMessage", grant: QuotaGrant) -> None:
        """Handle the answer, which may be late."""

    def on_quota_failure(self, message: "QuotaMessage", cause: str) -> None:
        """Handle that there is no answer, and none will come."""


@define(kw_only=True, eq=False, repr=False)
class QuotaMessage(PooledSend):
    """
    One request for tokens, sent to one peer.

    :ivar asked_at_seconds: when it was created, by the clock of the tokens' expiry.
    """

    handler: QuotaMessageHandler
    peer: str
    pool: ConnectionPool
    ask: QuotaAsk
    asked_at_seconds: float

    def send(self) -> None:
        """Send the request as soon as the pool has a free connection."""
        self._queue_on(self.pool, require_fresh=False)

    def expire(self) -> bool:
        """Stop waiting for the answer; return whether one may still come."""
        if self._connection is None:
            # Not sent yet: the tokens would be spent for nothing.
            self.discard()
        return self._connection is not None

    def _send(self, connection: ClientConnection) -> None:
        self._connection = connection
        body = encode_ask(self.ask)
        self.pool.record_sent(connection, connection.loop.time())
        connection.send(
            b"POST %s HTTP/1.1\r\nhost:q\r\ncontent-length:%d\r\n\r\n%s"
            % (QUOTA_PATH, len(body), body),
            self,
            is_head=False,
        )

    def _on_unsent(self, cause: str) -> None:
        self._fail(cause)

    def on_reply(self, connection: ClientConnection, reply: HttpReply) -> None:
        """Handle the peer's answer."""
        connection.proven = True
        self.pool.record_reply(connection.sent_at_seconds)
        if reply.status == NOT_FOUND:
            self._fail(NOT_SUPPORTED)
        elif reply.status != 200:
            self._fail(f"status_{reply.status}")
        else:
            try:
                grant = decode_grant(reply.body, wanted_count=self.ask.wanted_count)
            except MalformedQuotaMessage:
                self._fail("malformed")
                return
            if not self.ended:
                self.ended = True
                self.handler.on_quota_answer(self, grant)

    def on_failure(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        """Handle the loss of the connection or a malformed reply."""
        self.pool.busy.pop(connection, None)
        self._fail(failure.value)

    def _fail(self, cause: str) -> None:
        if not self.ended:
            self.ended = True
            self.cause = cause
            self.handler.on_quota_failure(self, cause)
