"""Checks of an environment document that involve more than one field."""

from collections.abc import Callable, Iterable, Iterator
from typing import Final

from bronzebeam.documents.model import EnvironmentDocument, ServiceKind, ServiceSpec
from bronzebeam.findings import Finding

MAX_EXTRA_LOAD_SHARE: Final = 0.05

ServiceCheck = Callable[[ServiceSpec], Iterator[tuple[str, str]]]


def check_document(document: EnvironmentDocument) -> tuple[Finding, ...]:
    """Return all findings of the checks that involve more than one field."""
    findings = [
        *_check_duplicate_names("/classes", (item.name for item in document.classes)),
        *_check_duplicate_names("/services", (item.name for item in document.services)),
    ]
    for index, service in enumerate(document.services):
        root = f"/services/{index}"
        findings += _check_connection_share(document, service, root)
        for check in _SERVICE_CHECKS:
            findings += [
                Finding(place=root + place, message=message)
                for place, message in check(service)
            ]
        names = (item.name for item in service.operations)
        findings += _check_duplicate_names(f"{root}/operations", names)
    return tuple(findings)


def _check_duplicate_names(root: str, names: Iterable[str]) -> Iterator[Finding]:
    seen: dict[str, int] = {}
    for index, name in enumerate(names):
        first = seen.setdefault(name, index)
        if first != index:
            message = f"the name {name!r} is already used by {root}/{first}"
            yield Finding(place=f"{root}/{index}/name", message=message)


def _check_connection_share(
    document: EnvironmentDocument, service: ServiceSpec, root: str
) -> Iterator[Finding]:
    if document.connection_share(service) >= 1:
        return
    yield Finding(
        place=f"{root}/backend/connections",
        message=(
            f"{service.backend.connections} connections are too few for "
            f"{document.fleet.max_instances} entry instances; each needs at least one"
        ),
    )


def _check_kind(service: ServiceSpec) -> Iterator[tuple[str, str]]:
    if service.kind is ServiceKind.SEARCH:
        if service.shards < 1:
            yield "/shards", "a search service needs at least one shard"
        if service.operations:
            yield "/operations", "a search service must not have operations"
        return
    if service.shards:
        yield "/shards", "a call service must not have shards"
    if not service.operations:
        yield "/operations", "a call service needs at least one operation"
    if service.coverage.soft_deadline_ms is not None:
        yield "/coverage/soft_deadline_ms", (
            "a call service must not have a soft deadline"
        )
    if service.coverage.minimum_share:
        yield "/coverage/minimum_share", (
            "a call service must not have a minimum share"
        )


def _check_deadlines(service: ServiceSpec) -> Iterator[tuple[str, str]]:
    deadline = service.deadline
    if deadline.minimum_ms > deadline.maximum_ms:
        yield "/deadline/minimum_ms", (
            f"the minimum deadline of {deadline.minimum_ms} ms is greater than the "
            f"maximum of {deadline.maximum_ms} ms"
        )
    elif not deadline.minimum_ms <= deadline.default_ms <= deadline.maximum_ms:
        yield "/deadline/default_ms", (
            f"the default deadline of {deadline.default_ms} ms is not between "
            f"{deadline.minimum_ms} ms and {deadline.maximum_ms} ms"
        )
    soft_deadline_ms = service.coverage.soft_deadline_ms
    if soft_deadline_ms is not None and soft_deadline_ms > deadline.maximum_ms:
        yield "/coverage/soft_deadline_ms", (
            f"the soft deadline of {soft_deadline_ms} ms is greater than the maximum "
            f"deadline of {deadline.maximum_ms} ms"
        )


def _check_hedging(service: ServiceSpec) -> Iterator[tuple[str, str]]:
    share = service.hedging.extra_load_share
    if share > MAX_EXTRA_LOAD_SHARE:
        yield "/hedging/extra_load_share", (
            f"the extra load share of {share} is greater than the maximum of "
            f"{MAX_EXTRA_LOAD_SHARE}"
        )


def _check_minimum_share(service: ServiceSpec) -> Iterator[tuple[str, str]]:
    coverage = service.coverage
    if coverage.soft_deadline_ms is not None and coverage.minimum_share == 1:
        yield "/coverage/minimum_share", (
            "a soft deadline has no effect if the minimum share is 1"
        )


_SERVICE_CHECKS: Final[tuple[ServiceCheck, ...]] = (
    _check_kind,
    _check_deadlines,
    _check_hedging,
    _check_minimum_share,
)
