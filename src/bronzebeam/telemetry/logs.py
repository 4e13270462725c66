"""Structured logs: one line of key=value pairs per event."""

import sys
from collections.abc import Mapping
from typing import Any, Final, TextIO

import eliot

from bronzebeam.telemetry.lines import format_key, format_time, format_value

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
RESERVED_FIELD_PREFIX: Final = "field_"


def log_event(name: str, /, **fields: Any) -> None:
    """
    Log one event.

    :param name: event name in snake case.
    :param fields: further pairs; names of quantities end in their unit. Names that
        eliot reserves get a prefix.
    """
    if not RESERVED_FIELDS.isdisjoint(fields):
        fields = {
            RESERVED_FIELD_PREFIX + key if key in RESERVED_FIELDS else key: value
            for key, value in fields.items()
        }
    eliot.log_message(name, **fields)


def format_event(message: Mapping[str, Any]) -> str:
    """
    Format an eliot message as key=value pairs, without a line end.

    :param message: fields, including eliot's own `timestamp` and `message_type`.
    """
    pairs = [
        f"time={format_time(message.get(TIMESTAMP_FIELD, 0.0))}",
        f"event={format_value(message.get(EVENT_FIELD, 'message'))}",
    ]
    pairs.extend(
        f"{format_key(key)}={format_value(value)}"
        for key, value in message.items()
        if key not in RESERVED_FIELDS
    )
    return " ".join(pairs)


class LineDestination:
    """
    An eliot destination that writes each message as one line.

    :param stream: output stream for the lines.
    :param line_suffix: text appended to each line.
    """

    def __init__(self, *, stream: TextIO, line_suffix: str = "") -> None:
        self._stream = stream
        self._line_suffix = line_suffix

    def __call__(self, message: Mapping[str, Any]) -> None:
        self._stream.write(format_event(message) + self._line_suffix + "\n")
        self._stream.flush()


class LogOutput:
    """The log output of the process; opened once by each daemon or test."""

    def __init__(self, *, stream: TextIO | None = None, **common_fields: Any) -> None:
        """
        Send all further events to `stream`.

        :param stream: output stream; standard output if not given.
        :param common_fields: pairs added to each event, such as the instance name.
        """
        pairs = [
            f" {key}={format_value(value)}" for key, value in common_fields.items()
        ]
        self._destination = LineDestination(
            stream=stream or sys.stdout, line_suffix="".join(pairs)
        )
        eliot.add_destinations(self._destination)

    def close(self) -> None:
        """Stop sending events to the stream."""
        eliot.remove_destination(self._destination)
