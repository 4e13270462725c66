"""Computes the differences between two documents, located by JSON pointers."""

from collections.abc import Iterator
from enum import Enum
from typing import Any

from attrs import frozen

from bronzebeam.documents.loading import canonical_json, document_to_json
from bronzebeam.documents.model import EnvironmentDocument
from bronzebeam.findings import json_pointer

Path = tuple[str | int, ...]


class ChangeKind(Enum):
    """How a value differs between two documents."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    REORDERED = "reordered"


@frozen(kw_only=True)
class Change:
    """
    One difference between two documents.

    :ivar place: JSON pointer into the new document; for a removed value, into the old
        one.
    :ivar before: old value, None if added; if reordered, the names in their old order.
    :ivar after: new value, None if removed; if reordered, the names in their new order.
    """

    kind: ChangeKind
    place: str
    before: Any = None
    after: Any = None

    def __str__(self) -> str:
        match self.kind:
            case ChangeKind.ADDED:
                return f"{self.place or '/'}: added {_format_json(self.after)}"
            case ChangeKind.REMOVED:
                return f"{self.place or '/'}: removed {_format_json(self.before)}"
        values = f"{_format_json(self.before)} -> {_format_json(self.after)}"
        return f"{self.place or '/'}: {self.kind.value} {values}"


def diff_documents(
    before: EnvironmentDocument | None, after: EnvironmentDocument
) -> tuple[Change, ...]:
    """
    Return the changes from `before` to `after`.

    Services, classes and operations are matched by name, not by index. Otherwise an
    insertion would be reported as a change of every item after it.
    """
    new = document_to_json(after)
    if before is None:
        return (Change(kind=ChangeKind.ADDED, place="", after=new),)
    return tuple(_diff_objects(document_to_json(before), new, (), ()))


def _diff(before: Any, after: Any, old: Path, new: Path) -> Iterator[Change]:
    if isinstance(before, dict) and isinstance(after, dict):
        yield from _diff_objects(before, after, old, new)
    elif _is_named(before) and _is_named(after):
        yield from _diff_named(before, after, old, new)
    elif before != after:
        yield Change(
            kind=ChangeKind.CHANGED, place=json_pointer(new), before=before, after=after
        )


def _diff_objects(
    before: dict[str, Any], after: dict[str, Any], old: Path, new: Path
) -> Iterator[Change]:
    for name, value in after.items():
        yield from _diff(before[name], value, (*old, name), (*new, name))


def _diff_named(
    before: list[Any], after: list[Any], old: Path, new: Path
) -> Iterator[Change]:
    old_indexes = {item["name"]: index for index, item in enumerate(before)}
    new_indexes = {item["name"]: index for index, item in enumerate(after)}
    for name, index in old_indexes.items():
        if name not in new_indexes:
            place = json_pointer((*old, index))
            yield Change(kind=ChangeKind.REMOVED, place=place, before=before[index])
    for name, index in new_indexes.items():
        if name not in old_indexes:
            place = json_pointer((*new, index))
            yield Change(kind=ChangeKind.ADDED, place=place, after=after[index])
            continue
        item = before[old_indexes[name]]
        yield from _diff(item, after[index], (*old, old_indexes[name]), (*new, index))
    common_before = [name for name in old_indexes if name in new_indexes]
    common_after = [name for name in new_indexes if name in old_indexes]
    if common_before != common_after:
        yield Change(
            kind=ChangeKind.REORDERED,
            place=json_pointer(new),
            before=common_before,
            after=common_after,
        )


def _is_named(value: Any) -> bool:
    return isinstance(value, list | tuple) and all(
        isinstance(item, dict) and "name" in item for item in value
    )


def _format_json(value: Any) -> str:
    return canonical_json(value).decode()
