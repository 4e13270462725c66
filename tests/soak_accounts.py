"""Accounts of a soak run: their keys, what callers send, and rules that must hold."""

import random
from collections import defaultdict
from collections.abc import Iterable
from typing import Any, Final

from attrs import define

from tests.soak_history import ArrivalRow, SoakHistory

BOUND_SECONDS: Final = 3.0  # in which a configuration must be in force
# The bound counts once the store has been healthy for this long.
STABLE_SECONDS: Final = 4.0
LIBRARY, ARCHIVE, MUSEUM = "library", "archive", "museum"
GALLERY: Final = "gallery"
FIXED_KEYS: Final = {
    "secret-library": LIBRARY,
    "secret-archive": ARCHIVE,
    "secret-museum": MUSEUM,
    "secret-gallery": GALLERY,
}
# Callers send several times as many for the museum, and a quarter for the gallery.
QUOTAS: Final[dict[str, dict[str, int]]] = {
    MUSEUM: {"ratePerS": 4, "burst": 4},
    GALLERY: {"ratePerS": 30, "burst": 15},
}
KEYS_IN_FORCE: Final = 2  # versions in which a key of a version is in force


@define(kw_only=True, eq=False)
class KeyRow:
    """
    A key, and when configurations with it were written.

    :ivar until_seconds: when a configuration without it was; None if none was.
    """

    account: str
    since_seconds: float
    until_seconds: float | None = None


def key_of_version(version: int) -> str:
    return f"secret-of-{version}"


def configure_accounts(
    history: SoakHistory, *, version: int, at_seconds: float
) -> list[dict[str, Any]]:
    """Return the accounts of a version: it has a new key, and lacks an earlier one."""
    added, owner = key_of_version(version), ARCHIVE if version % 2 else LIBRARY
    rows = {**FIXED_KEYS, added: owner}
    for key, account in rows.items():
        history.keys.setdefault(key, KeyRow(account=account, since_seconds=at_seconds))
    removed = history.keys.get(key_of_version(version - KEYS_IN_FORCE))
    if removed is not None:
        removed.until_seconds = at_seconds
    return [
        {
            "name": name,
            "apiKeys": [
                key
                for key, row in history.keys.items()
                if row.account == name and row.until_seconds is None
            ],
            **QUOTAS.get(name, {}),
        }
        for name in (LIBRARY, ARCHIVE, MUSEUM, GALLERY)
    ]


def choose_key(rng: random.Random, version: int) -> str:
    """Choose what a caller sends as its key; empty for none."""
    kind = rng.choices(
        [
            *("library", "archive", "museum", "gallery"),
            *("new", "old", "next", "never", "none"),
        ],
        weights=[30, 20, 15, 10, 8, 8, 3, 3, 3],
    )[0]
    return {
        "new": key_of_version(version),
        "old": key_of_version(max(1, version - rng.randint(1, 4))),
        "next": key_of_version(version + 1),
        "never": "secret-unknown",
        "none": "",
    }.get(kind, f"secret-{kind}")


def check_accounts(history: SoakHistory) -> Iterable[str]:
    """Replicas get the name of the right account, no key, and nothing without one."""
    arrivals = _arrivals_by_attempt(history)
    for row in history.requests:
        known = history.keys.get(row.key)
        for arrival in arrivals[row.attempt_id]:
            where = f"{row.attempt_id} at {arrival.replica}"
            if arrival.has_key:
                yield f"{where}: it has a key"
            if row.kind == "probe":
                # The route is public.
                if arrival.account is not None:
                    yield f"{where}: its account is {arrival.account}, it has none"
            elif known is None or arrival.at_seconds < known.since_seconds:
                yield f"{where}: no configuration had the key {row.key!r}"
            elif arrival.account != known.account:
                yield f"{where}: {arrival.account} in place of {known.account}"


def check_keys_in_time(history: SoakHistory) -> Iterable[str]:
    """Keys are in force, and removed ones out of force, within the bound."""
    arrivals = _arrivals_by_attempt(history)
    for row in history.requests:
        known = history.keys.get(row.key)
        if known is None or _started_on_older_copy(history, row.gateway):
            continue
        until = known.until_seconds
        if until is not None and any(
            item.at_seconds > _in_force_at(history, row.gateway[0], until)
            for item in arrivals[row.attempt_id]
            if item.ran
        ):
            yield f"{row.attempt_id} ran, {row.key} was removed at {until:.1f}"
        in_force_at = _in_force_at(history, row.gateway[0], known.since_seconds)
        ended_at = row.ended_at_seconds
        is_held = ended_at is not None and (until is None or until > ended_at)
        if row.response is None or row.response.status != 401:
            continue
        if is_held and row.sent_at_seconds > in_force_at:
            yield f"{row.attempt_id} got 401, {row.key} was in force"


def _arrivals_by_attempt(history: SoakHistory) -> dict[str, list[ArrivalRow]]:
    arrivals = defaultdict(list)
    for arrival in history.arrivals:
        arrivals[arrival.attempt_id].append(arrival)
    return arrivals


def _in_force_at(history: SoakHistory, gateway: str, written_at: float) -> float:
    """Return when a change must be in force, after all that was in its way."""
    settled_at = written_at
    harmed = [*history.outages, *history.disturbed]
    for name, since, until in sorted(harmed, key=lambda item: item[1]):
        if name not in ("", gateway):
            continue
        if until + STABLE_SECONDS > written_at and since <= settled_at + BOUND_SECONDS:
            settled_at = max(settled_at, until + STABLE_SECONDS)
    return settled_at + BOUND_SECONDS


def _started_on_older_copy(history: SoakHistory, gateway: tuple[str, int]) -> bool:
    """Whether a process started before the operator had written again."""
    started_at = history.starts.get(gateway, 0.0)
    return any(since <= started_at <= until for since, until in history.older_copies)
