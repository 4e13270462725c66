"""Formatting of log lines as key=value pairs."""

import json
import re
from datetime import datetime, timezone
from typing import Any, Final

import orjson

BARE_VALUE: Final = re.compile(r"[A-Za-z0-9_.:/@+-]+")
UNSAFE_IN_KEY: Final = re.compile(r"[^A-Za-z0-9_.-]")


def format_pair(key: str, value: Any) -> str:
    """Format one pair."""
    return f"{format_key(key)}={format_value(value)}"


def format_value(value: Any) -> str:
    """Format a value; it becomes a quoted JSON string unless it is a single word."""
    if value is None:
        return "null"
    if value is True or value is False:
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return str(value)
    text = value if isinstance(value, str) else _encode(value)
    if BARE_VALUE.fullmatch(text):
        return str(text)
    # ASCII escapes keep Unicode line separators out of the line.
    return json.dumps(text)


def _encode(value: Any) -> str:
    try:
        encoded = orjson.dumps(value, default=str, option=orjson.OPT_NON_STR_KEYS)
    except (TypeError, ValueError):
        return repr(value)
    return encoded.decode()


def format_key(key: str) -> str:
    """Replace characters that are not allowed in a key."""
    return UNSAFE_IN_KEY.sub("_", key) or "_"


def format_time(timestamp_seconds: float) -> str:
    """Format a time as UTC with milliseconds."""
    utc_time = datetime.fromtimestamp(timestamp_seconds, timezone.utc)
    return (
        utc_time.strftime("%Y-%m-%dT%H:%M:%S.") + f"{utc_time.microsecond // 1000:03d}Z"
    )
