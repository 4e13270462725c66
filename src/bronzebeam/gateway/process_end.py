"""
Exit codes of the gateway process, and what it writes to standard error.

Imports as little as possible, since it runs before the other modules are loaded.
"""

import os

EXIT_REQUESTS_CUT_OFF = 1
EXIT_INVALID_SETTINGS = 2
EXIT_FAILED = 3
STANDARD_ERROR = 2
STANDARD_STREAMS = (0, 1, STANDARD_ERROR)


def prepare_standard_streams() -> None:
    """
    Make sure that output which nobody reads neither blocks nor ends the process.

    A stream that is closed is opened, since a socket would get its number otherwise.
    The interpreter itself may write to standard error.
    """
    for descriptor in STANDARD_STREAMS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)
    os.set_blocking(STANDARD_ERROR, False)


def write_standard_error(text: str) -> None:
    """Write what standard error accepts now; the rest is left out."""
    data = text.encode(errors="replace")
    try:
        while data:
            os.set_blocking(STANDARD_ERROR, False)
            data = data[os.write(STANDARD_ERROR, data) :]
    except OSError:
        # Nobody reads it; there is no other place to report that.
        return


def write_traceback(error: BaseException) -> None:
    """Write an exception with its traceback to standard error."""
    import traceback  # only if it is needed, since it takes time to load

    write_standard_error("".join(traceback.format_exception(error)))
