"""Logs: one line of key=value pairs for each event."""

import json
import re
import sys
from collections.abc import Mapping
from datetime import datetime, timezone
from typing import Any, Final, TextIO

import eliot
import orjson

EVENT_FIELD: Final = "message_type"
TIMESTAMP_FIELD: Final = "timestamp"
RESERVED_FIELDS: Final = frozenset(
    {
        EVENT_FIELD,
        TIMESTAMP_FIELD,
        "task_uuid",
        "task_level",
        "__eliot_logger__",
        "__eliot_serializer__",
    }
)
RENAMED_PREFIX: Final = "field_"
BARE_VALUE: Final = re.compile(r"[A-Za-z0-9_.:/@+-]+")
UNSAFE_IN_KEY: Final = re.compile(r"[^A-Za-z0-9_.-]")


def log_event(name: str, /, **fields: Any) -> None:
    """
    Log one event.

    :param name: what happened, in snake case.
    :param fields: further pairs; numbers carry their unit in the name. Names that
        eliot reserves get a prefix.
    """
    if not RESERVED_FIELDS.isdisjoint(fields):
        fields = {
            RENAMED_PREFIX + key if key in RESERVED_FIELDS else key: value
            for key, value in fields.items()
        }
    eliot.log_message(name, **fields)


def format_event(message: Mapping[str, Any]) -> str:
    """
    Render an eliot message as one line of key=value pairs, without line end.

    :param message: fields with eliot's own `timestamp` and `message_type`.
    """
    pairs = [
        f"time={_format_time(message.get(TIMESTAMP_FIELD, 0.0))}",
        f"event={format_value(message.get(EVENT_FIELD, 'message'))}",
    ]
    pairs.extend(
        f"{_format_key(key)}={format_value(value)}"
        for key, value in message.items()
        if key not in RESERVED_FIELDS
    )
    return " ".join(pairs)


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


class LineDestination:
    """
    An eliot destination that writes each message as one line.

    :ivar stream: where lines go.
    :ivar suffix: text added to each line.
    """

    def __init__(self, *, stream: TextIO, suffix: str = "") -> None:
        self._stream = stream
        self._suffix = suffix

    def __call__(self, message: Mapping[str, Any]) -> None:
        self._stream.write(format_event(message) + self._suffix + "\n")
        self._stream.flush()


class LogOutput:
    """The process's log output; opened once by each daemon or test."""

    def __init__(self, *, stream: TextIO | None = None, **common: Any) -> None:
        """
        Send all further events to `stream`.

        :param stream: standard output if not given.
        :param common: pairs added to each event, for instance the instance name.
        """
        pairs = [f" {key}={format_value(value)}" for key, value in common.items()]
        self._destination = LineDestination(
            stream=stream or sys.stdout, suffix="".join(pairs)
        )
        eliot.add_destinations(self._destination)

    def close(self) -> None:
        """Stop sending events to the stream."""
        eliot.remove_destination(self._destination)


def _encode(value: Any) -> str:
    try:
        encoded = orjson.dumps(value, default=str, option=orjson.OPT_NON_STR_KEYS)
    except (TypeError, ValueError):
        return repr(value)
    return encoded.decode()


def _format_key(key: str) -> str:
    return UNSAFE_IN_KEY.sub("_", key) or "_"


def _format_time(timestamp_seconds: float) -> str:
    moment = datetime.fromtimestamp(timestamp_seconds, timezone.utc)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{moment.microsecond // 1000:03d}Z"
