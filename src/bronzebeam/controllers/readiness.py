"""Whether an entry should accept callers' requests."""

from typing import Final

from attrs import frozen

ISOLATION_TIMEOUT_SECONDS: Final = 10.0
NO_CONFIGURATION: Final = "no_configuration"
ISOLATED: Final = "reaches_neither_store_nor_peers"
LEAVING: Final = "leaving"
READY: Final = "ready"


@frozen(kw_only=True)
class Readiness:
    """
    Whether an entry is ready.

    :ivar reason: one of the constants of this module.
    """

    ready: bool
    reason: str


def decide_readiness(
    *,
    revision: int,
    leaving: bool,
    has_peers: bool,
    seconds_without_peers: float,
    seconds_without_store: float,
) -> Readiness:
    """
    Decide the readiness of an entry.

    The only entry of a fleet stays ready during an outage of the store. An entry that
    has peers, but reaches neither them nor the store, is taken to be isolated.

    :param revision: active configuration revision; 0 if there is none.
    """
    if leaving:
        return Readiness(ready=False, reason=LEAVING)
    if revision == 0:
        return Readiness(ready=False, reason=NO_CONFIGURATION)
    isolated_seconds = min(seconds_without_peers, seconds_without_store)
    if has_peers and isolated_seconds > ISOLATION_TIMEOUT_SECONDS:
        return Readiness(ready=False, reason=ISOLATED)
    return Readiness(ready=True, reason=READY)
