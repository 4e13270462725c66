"""Gossip topic with the entries' views of the claims' store."""

from typing import Any, Final

from attrs import frozen

from bronzebeam.controllers.store_view import StoreView
from bronzebeam.findings import FindingsError, one_finding

TOPIC: Final = "store_view"
MAX_TOPIC_BYTES: Final = 256


@frozen(kw_only=True)
class StoreViewTopic:
    """
    Spreads the highest revision seen and any detected loss of claims.

    Without it, an entry that has not written recently could not detect that the store
    was restored from an older state.
    """

    view: StoreView

    def digest(self) -> Any:
        """Return `distrusted_before_seconds` and the highest revision."""
        return [self.view.distrusted_before_seconds, self.view.highest_revision]

    def delta(self, since: Any) -> Any:
        """Return this entry's view if it is newer than `since`; else None."""
        return self.digest() if _read(since) < tuple(self.digest()) else None

    def merge(self, payload: Any) -> bool:
        """Apply a peer's view; return whether it was newer."""
        distrusted_before_seconds, highest_revision = _read(payload)
        return self.view.apply_peer_view(
            distrusted_before_seconds=distrusted_before_seconds,
            highest_revision=highest_revision,
        )


def _read(value: Any) -> tuple[float, int]:
    try:
        limit_seconds, revision = value
        return float(limit_seconds), int(revision)
    except (TypeError, ValueError, OverflowError) as error:
        raise _malformed(error) from error


def _malformed(error: Exception) -> FindingsError:
    return one_finding(
        subject=TOPIC, message=f"payload is not a pair of numbers: {error!r}"
    )
