"""Rendering of events as lines of key=value pairs."""

import json
import re
from datetime import datetime, timezone
from typing import Any, Final

import orjson

BARE_VALUE: Final = re.compile(r"[A-Za-z0-9_.:/@+-]+")
UNSAFE_IN_KEY: Final = re.compile(r"[^A-Za-z0-9_.-]")


def format_pair(key: str, value: Any) -> str:
    """Render one pair."""
    return f"{format_key(key)}={format_value(value)}"


def format_value(value: Any) -> str:
    """Render `value` for a pair; quote it as a JSON string unless it is one word."""
    if value is None:
        return "null"
    if value is True or value is False:
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return str(value)
    text = value if isinstance(value, str) else _encode(value)
    if BARE_VALUE.fullmatch(text):
        return str(text)
    # ASCII escapes keep any line separator of Unicode out of the line.
    return json.dumps(text)


def _encode(value: Any) -> str:
    try:
        encoded = orjson.dumps(value, default=str, option=orjson.OPT_NON_STR_KEYS)
    except (TypeError, ValueError):
        return repr(value)
    return encoded.decode()


def format_key(key: str) -> str:
    """Replace what may not stand in a key."""
    return UNSAFE_IN_KEY.sub("_", key) or "_"


def format_time(timestamp_seconds: float) -> str:
    """Render a time as UTC with milliseconds."""
    moment = datetime.fromtimestamp(timestamp_seconds, timezone.utc)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{moment.microsecond // 1000:03d}Z"
