"""Which registrations in an older copy of the store are not believed."""

from enum import Enum
from typing import Final

# A live replica whose registration an older copy of the store lacks writes it again
# within two seconds.
LOST_REGISTRATION_GRACE_SECONDS: Final = 2.5
# A replica that has stopped disappears from an older copy once its registration has
# expired; an instance whose watch was dropped sees that up to this much later.
DOUBT_MARGIN_SECONDS: Final = 4.0

# Time of the process's start, and number of the registration.
RegistrationOrder = tuple[int, int]


class KnownState(Enum):
    """What an instance believes of a replica when it reads an older copy."""

    IN_USE = "in_use"
    LEAVING = "leaving"
    REMOVED = "removed"


def is_doubtful(
    registration: RegistrationOrder,
    *,
    known: RegistrationOrder,
    known_state: KnownState,
) -> bool:
    """
    Whether a registration in an older copy contradicts a later one.

    Protects replicas that have left since the copy was made from new requests. A
    registration that the replica has written after the copy came back has a higher
    number than the last one known, so it is believed.

    :param known: order of the last registration known before.
    """
    if known_state is KnownState.LEAVING:
        return registration < known
    return known_state is KnownState.REMOVED and registration <= known
