"""Differences between two JSON values, sent in place of the whole value."""

import hashlib
from typing import Any, Final

import orjson
from attrs import frozen

from bronzebeam.findings import FindingsError, one_finding

CHECKSUM_BYTES: Final = 16


@frozen(kw_only=True)
class Change:
    """
    One change of a JSON value.

    :ivar path: keys and indexes from the root to the changed value.
    :ivar removed: whether the key is removed; `value` is then unused.
    """

    path: tuple[str | int, ...]
    value: Any = None
    removed: bool = False


def json_checksum(value: Any) -> str:
    """Return a checksum of a JSON value that does not depend on the order of keys."""
    encoded = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(encoded, digest_size=CHECKSUM_BYTES).hexdigest()


def difference(
    old: Any, new: Any, path: tuple[str | int, ...] = ()
) -> tuple[Change, ...]:
    """Return the changes that turn `old` into `new`."""
    if isinstance(old, dict) and isinstance(new, dict):
        return _object_difference(old, new, path)
    if isinstance(old, list) and isinstance(new, list) and len(old) == len(new):
        parts = (
            difference(old_item, new_item, (*path, index))
            for index, (old_item, new_item) in enumerate(zip(old, new, strict=True))
        )
        return tuple(change for part in parts for change in part)
    if type(old) is type(new) and old == new:
        return ()
    return (Change(path=path, value=new),)


def _object_difference(
    old: dict[str, Any], new: dict[str, Any], path: tuple[str | int, ...]
) -> tuple[Change, ...]:
    changes = [Change(path=(*path, key), removed=True) for key in old if key not in new]
    for key, value in new.items():
        if key in old:
            changes.extend(difference(old[key], value, (*path, key)))
        else:
            changes.append(Change(path=(*path, key), value=value))
    return tuple(changes)


def apply_changes(old: Any, changes: tuple[Change, ...], checksum: str) -> Any:
    """
    Return a copy of `old` with `changes` applied.

    :param checksum: expected checksum of the result.
    :raises FindingsError: if a change can't be applied or the checksum differs.
    """
    result = orjson.loads(orjson.dumps(old))
    for change in changes:
        try:
            result = _apply_change(result, change)
        except (KeyError, IndexError, TypeError) as error:
            raise _malformed("a change can't be applied to the base") from error
    try:
        found = json_checksum(result)
    except orjson.JSONEncodeError as error:
        raise _malformed("the result can't be encoded") from error
    if found != checksum:
        raise _malformed("the checksum differs after the changes")
    return result


def _apply_change(root: Any, change: Change) -> Any:
    if not change.path:
        return change.value
    parent = root
    for part in change.path[:-1]:
        parent = parent[part]
    if change.removed:
        del parent[change.path[-1]]
    else:
        parent[change.path[-1]] = change.value
    return root


def _malformed(message: str) -> FindingsError:
    return one_finding(subject="document difference", message=message)
