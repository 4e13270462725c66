"""Errors at the opening of a port that may pass."""

import errno
from typing import Final

# Another process still has the port, the machine gets its address, or has too few
# descriptors or too little memory for now. From Python 3.13 on, asyncio reports a
# missing address without a number.
PASSING_ERRORS: Final = frozenset(
    (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        None,
    )
)
