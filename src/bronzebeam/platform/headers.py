"""The platform's HTTP headers, in requests and in replies."""

from collections.abc import Sequence
from typing import Final

from bronzebeam.gateway.header_codec import ReplyMetadata, RequestMetadata
from bronzebeam.transport.caller_request import HttpRequest, end_to_end_headers
from bronzebeam.transport.http_reply import Headers

# Identifies one attempt of a caller at a request; a caller's retry has a new one.
ATTEMPT_ID: Final = b"x-bronzebeam-attempt-id"
# Time left until the deadline, counted from when the header is sent.
REMAINING_MS: Final = b"x-bronzebeam-deadline-remaining-ms"
# Shows that the replica ran this request. Not a cryptographic signature.
SIGNATURE: Final = b"x-bronzebeam-replica-signature"
EXPECTED_REPLICA: Final = b"x-bronzebeam-expected-replica"
NOT_EXECUTED: Final = b"x-bronzebeam-not-executed"
LEAVING: Final = b"server-leaving"  # in all replies of a replica that is about to stop
LEAVING_VALUE: Final = b"1"
# Requests a second, a decimal number, that a replica in need takes from all instances.
LIMIT: Final = b"server-limit"
# Identifies the account of a caller; never passed on.
KEY: Final = b"x-bronzebeam-key"
# Name of the account, for the replica; a caller's own value is dropped.
ACCOUNT: Final = b"x-bronzebeam-tenant-name"
# Requests running, waiting and slots of a replica, and its pace in percent.
LOAD: Final = b"x-bronzebeam-replica-load"
COLD_REMAINING_MS: Final = b"x-bronzebeam-cold-remaining-ms"
RETRY_AFTER: Final = b"retry-after"  # seconds, with optional fractions
SHARD_SIGNATURES: Final = b"X-Bronzebeam-Shard-Signatures"
MISSING_SHARDS: Final = b"X-Bronzebeam-Missing-Shards"
# Headers that are set for each attempt; values sent by the caller are dropped.
OVERRIDDEN: Final = frozenset({REMAINING_MS, EXPECTED_REPLICA, KEY, ACCOUNT})


class PlatformHeaderCodec:
    """Reads and writes the platform's headers; implements `HeaderCodec`."""

    def read_request(self, headers: Headers) -> RequestMetadata:
        """Read the metadata of a caller's request."""
        attempt_id = key = account = b""
        remaining_ms = None
        for name, value in headers:
            if name == ATTEMPT_ID:
                attempt_id = value
            elif name == REMAINING_MS:
                remaining_ms = _parse_remaining_ms(value)
            elif name == KEY:
                key = value
            elif name == ACCOUNT:
                account = value
        return RequestMetadata(
            attempt_id=attempt_id, remaining_ms=remaining_ms, key=key, account=account
        )

    def request_head(self, request: HttpRequest, *, account: bytes = b"") -> bytes:
        """Return the request line and the headers that every attempt carries."""
        # No optional whitespace: traffic between failure domains is billed by bytes.
        lines = [b"%s %s HTTP/1.1\r\n" % (request.method, request.target)]
        lines.extend(
            b"%s:%s\r\n" % (name, value)
            for name, value in end_to_end_headers(request.headers)
            if name not in OVERRIDDEN
        )
        if request.body or request.header(b"content-length"):
            lines.append(b"content-length:%d\r\n" % len(request.body))
        elif request.header(b"transfer-encoding"):
            lines.append(b"content-length:0\r\n")
        if account:
            lines.append(b"%s:%s\r\n" % (ACCOUNT, account))
        return b"".join(lines)

    def attempt_head(self, *, remaining_ms: float, replica: str | None) -> bytes:
        """Return the headers of one attempt and the empty line after them."""
        head = b"%s:%d\r\n" % (REMAINING_MS, remaining_ms)
        if replica is not None:
            head += b"%s:%s\r\n" % (EXPECTED_REPLICA, replica.encode())
        return head + b"\r\n"

    def read_reply(self, headers: Headers) -> ReplyMetadata:
        """Read the metadata of a replica's reply."""
        attempt_id = signature = retry_after = limit = load = cold_ms = b""
        not_run = leaving = False
        for name, value in headers:
            if name == ATTEMPT_ID:
                attempt_id = value
            elif name == SIGNATURE:
                signature = value
            elif name == NOT_EXECUTED:
                not_run = True
            elif name == LEAVING:
                leaving = value.strip() == LEAVING_VALUE
            elif name == RETRY_AFTER:
                retry_after = value
            elif name == LIMIT:
                limit = value
            elif name == LOAD:
                load = value
            elif name == COLD_REMAINING_MS:
                cold_ms = value
        return ReplyMetadata(
            attempt_id=attempt_id,
            signature=signature,
            not_run=not_run,
            leaving=leaving,
            retry_after=retry_after,
            limit=limit,
            load=load,
            cold_ms=cold_ms,
        )

    def merged_headers(
        self, *, attempt_id: bytes, signatures: Sequence[bytes], missing: int
    ) -> Headers:
        """Return the headers of a response that merges the replies of shards."""
        return [
            (ATTEMPT_ID, attempt_id),
            (SHARD_SIGNATURES, b", ".join(signatures)),
            (MISSING_SHARDS, b"%d" % missing),
        ]


def _parse_remaining_ms(value: bytes) -> float | None:
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0.0 <= number < float("inf") else None
