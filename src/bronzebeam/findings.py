"""Errors found by validation, each with the location of the faulty value."""

from collections.abc import Iterable

from attrs import field, frozen


@frozen(kw_only=True)
class Finding:
    """
    One error found by validation.

    :ivar place: JSON pointer (RFC 6901) to the faulty value; empty for the whole input.
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
    Raised if validation of an input has findings; carries all of them.

    :ivar subject: what was validated.
    :ivar findings: all errors found, in the order of the input.
    """

    subject: str
    findings: tuple[Finding, ...] = field(converter=_as_tuple)

    def __str__(self) -> str:
        return f"{self.subject}: " + "; ".join(map(str, self.findings))


def one_finding(*, subject: str, message: str, place: str = "") -> FindingsError:
    """Return an error with a single finding."""
    return FindingsError(
        subject=subject, findings=(Finding(place=place, message=message),)
    )


def json_pointer(parts: Iterable[str | int]) -> str:
    """
    Return the JSON pointer of a path.

    :param parts: keys and indexes, starting at the root.
    """
    return "".join(
        "/" + str(part).replace("~", "~0").replace("/", "~1") for part in parts
    )
