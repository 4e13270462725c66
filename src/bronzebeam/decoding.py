"""Checks of values that other processes have written."""

import math
import socket
from typing import Any, Final

# What reading a value of an unexpected type, size or form raises. Decoders turn these
# into one exception of their own, so that no other one leaves them.
DECODE_ERRORS: Final = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
MAX_PORT: Final = 65_535
MAX_COUNT_DIGITS: Final = 20  # of 64 bits
MAX_NAME_CHARACTERS: Final = 1_024


def read_count(text: str | bytes) -> int:
    """
    Return a whole number of at least 0 from its decimal digits.

    `isdigit` alone is true of characters beyond ASCII that `int` rejects, and of more
    digits than it converts.

    :raises ValueError: if the text is anything else.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_COUNT_DIGITS:
        raise ValueError("not a whole number")
    return int(text)


def read_port(value: Any) -> int:
    """Return a port; raises `ValueError` if the value is no number of one."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError("the port is not an integer")
    if not 0 < value <= MAX_PORT:
        raise ValueError("the port is out of range")
    return value


def read_host(value: Any) -> str:
    """Return an IPv4 address in its textual form; raises `ValueError` for others."""
    if not isinstance(value, str):
        raise ValueError("the address is not a text")
    try:
        socket.inet_pton(socket.AF_INET, value)
    except OSError as error:
        raise ValueError("the address is not an IP address") from error
    return value


def read_host_and_port(value: Any) -> tuple[str, int]:
    """Return the parts of a text `address:port`; raises `ValueError` for others."""
    if not isinstance(value, str):
        raise ValueError("the address is not a text")
    host, _, port = value.rpartition(":")
    return read_host(host), read_port(read_count(port))


def read_name(value: Any) -> str:
    """Return a name, not empty and of bounded size; raises `ValueError` for others."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARACTERS:
        raise ValueError("a name is not a text of a permitted length")
    return value


def read_header_text(value: Any) -> str:
    """Return a name that can be sent in a header; raises `ValueError` for others."""
    name = read_name(value)
    if not name.isascii() or not name.isprintable() or " " in name:
        raise ValueError("a name has characters that a header can't have")
    return name


def read_amount(value: Any) -> float:
    """Return a finite number of at least 0; raises `ValueError` for others."""
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise ValueError("not a number")
    if not math.isfinite(value):
        raise ValueError("a number is not finite")
    return max(0.0, float(value))
