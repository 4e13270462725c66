"""Interface to the platform's headers, and the metadata that they carry."""

from collections.abc import Sequence
from typing import Protocol

from attrs import field, frozen

from bronzebeam.transport.caller_request import HttpRequest
from bronzebeam.transport.http_reply import Headers


@frozen(kw_only=True)
class RequestMetadata:
    """
    Metadata that a caller sends with a request.

    :ivar attempt_id: identifier of this attempt at the request; empty if missing.
    :ivar remaining_ms: time until the caller's deadline; None if not stated.
    :ivar key: the key that identifies the caller's account; empty if missing.
    :ivar account: name of the account, as a peer states it; empty if missing. A
        caller's own statement must not be used.
    """

    attempt_id: bytes
    remaining_ms: float | None
    key: bytes = field(default=b"", repr=False)
    account: bytes = b""


@frozen(kw_only=True)
class ReplyMetadata:
    """
    Metadata that a replica sends with a reply.

    :ivar attempt_id: identifier of the request that the reply belongs to.
    :ivar signature: proof that the replica produced the reply; empty if missing.
    :ivar not_run: the replica states that it did not run the request.
    :ivar leaving: the replica states that it is about to stop.
    :ivar retry_after: time for which it wants no requests, as sent; empty if missing.
    :ivar limit: requests a second that it takes from all instances together, as sent;
        empty if it names no limit.
    :ivar load: the load that it states, as sent; empty if it states none.
    :ivar cold_ms: time for which it stays cold, as sent; empty if it states none.
    """

    attempt_id: bytes
    signature: bytes
    not_run: bool
    leaving: bool = False
    retry_after: bytes = b""
    limit: bytes = b""
    load: bytes = b""
    cold_ms: bytes = b""


class HeaderCodec(Protocol):
    """Decodes and encodes the headers agreed with callers and replicas."""

    def read_request(self, headers: Headers) -> RequestMetadata:
        """Decode the headers of a request; names are in lower case."""

    def request_head(self, request: HttpRequest, *, account: bytes = b"") -> bytes:
        """
        Encode the request line and the headers common to all attempts.

        The caller's key is left out.

        :param account: name of the caller's account; empty if there is none.
        """

    def attempt_head(self, *, remaining_ms: float, replica: str | None) -> bytes:
        """
        Encode the headers of one attempt, with the empty line that ends them.

        :param remaining_ms: time that the replica may take.
        :param replica: identifier of the replica that is meant, for it to check; None
            if the connection is known to lead to it.
        """

    def read_reply(self, headers: Headers) -> ReplyMetadata:
        """Decode the headers of a reply; names are in lower case."""

    def merged_headers(
        self, *, attempt_id: bytes, signatures: Sequence[bytes], missing: int
    ) -> Headers:
        """Return the headers of an answer merged from the replies of shards."""
