"""What requests and replies say beyond HTTP, whatever their headers are called."""

from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

from bronzebeam.transport.caller_request import CallerRequest
from bronzebeam.transport.http_reply import Headers


@frozen(kw_only=True)
class RequestMetadata:
    """
    What a caller says of its request.

    :ivar attempt_id: identifier of this send of the request; empty if there is none.
    :ivar remaining_ms: how long the caller will wait; None if it does not say.
    """

    attempt_id: bytes
    remaining_ms: float | None


@frozen(kw_only=True)
class ReplyMetadata:
    """
    What a replica says of its reply.

    :ivar attempt_id: identifier of the request that the reply belongs to.
    :ivar signature: proof that the replica produced the reply; empty if missing.
    :ivar not_run: the replica's word that it did not run the request.
    """

    attempt_id: bytes
    signature: bytes
    not_run: bool


class HeaderCodec(Protocol):
    """Reads and writes the headers that the gateway and its peers agree on."""

    def read_request(self, headers: Headers) -> RequestMetadata:
        """Read what a caller says; names are in lower case."""

    def request_head(self, request: CallerRequest) -> bytes:
        """Return the request line and the headers that every attempt carries."""

    def attempt_head(self, *, remaining_ms: float, replica: str | None) -> bytes:
        """
        Return the headers of one attempt, with the empty line that ends them.

        :param remaining_ms: time that the replica may take.
        :param replica: the only replica that may run it; None if that is certain.
        """

    def read_reply(self, headers: Headers) -> ReplyMetadata:
        """Read what a replica says; names are in lower case."""

    def merged_headers(
        self, *, attempt_id: bytes, signatures: Sequence[bytes], missing: int
    ) -> Headers:
        """Return the headers of an answer that merges the replies of shards."""
