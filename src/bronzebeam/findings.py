"""Findings of a check, each with the place it concerns."""

from collections.abc import Iterable

from attrs import field, frozen


@frozen(kw_only=True)
class Finding:
    """
    One fault found by a check.

    :ivar place: JSON pointer (RFC 6901) of the faulty value; empty for the whole.
    :ivar message: what is wrong, as one sentence.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place or '/'}: {self.message}"


def _as_tuple(findings: Iterable[Finding]) -> tuple[Finding, ...]:
    return tuple(findings)


@frozen(kw_only=True)
class FindingsError(Exception):
    """
    Raised when a checked input has findings; carries all of them.

    :ivar subject: what was checked.
    :ivar findings: every fault found, in the order of the input.
    """

    subject: str
    findings: tuple[Finding, ...] = field(converter=_as_tuple)

    def __str__(self) -> str:
        return f"{self.subject}: " + "; ".join(map(str, self.findings))


def one_finding(*, subject: str, message: str, place: str = "") -> FindingsError:
    """Build the error of a single finding."""
    return FindingsError(
        subject=subject, findings=(Finding(place=place, message=message),)
    )


def json_pointer(parts: Iterable[str | int]) -> str:
    """
    Build the JSON pointer of a path.

    :param parts: keys and indexes from the root down.
    """
    return "".join(
        "/" + str(part).replace("~", "~0").replace("/", "~1") for part in parts
    )
