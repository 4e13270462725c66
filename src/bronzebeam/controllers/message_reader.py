"""Validation of JSON values that come from other processes."""

from typing import Any, Final

from bronzebeam.findings import Finding, FindingsError, json_pointer

MAX_TEXT_CHARACTERS: Final = 512
MAX_FINDINGS: Final = 20
MAX_INTEGER: Final = 2**63 - 1


class MessageReader:
    """
    Reads the members of one JSON object and collects their validation errors.

    :param value: the decoded JSON.
    :param findings: list that findings are added to, shared with nested readers.
    :param path: path of `value` in the whole message.
    """

    def __init__(
        self,
        *,
        value: Any,
        findings: list[Finding] | None = None,
        path: tuple[str | int, ...] = (),
    ) -> None:
        self.findings: list[Finding] = [] if findings is None else findings
        self._path = path
        self._value: dict[str, Any] = value if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            self.add_finding("is not an object")

    def add_finding(self, message: str, *place: str | int) -> None:
        """Add a finding; those beyond `MAX_FINDINGS` are dropped."""
        if len(self.findings) < MAX_FINDINGS:
            pointer = json_pointer((*self._path, *place))
            self.findings.append(Finding(place=pointer, message=message))

    def text(self, key: str, *, allow_empty: bool = False) -> str:
        """Read a string of at most `MAX_TEXT_CHARACTERS`."""
        value = self._value.get(key)
        if not isinstance(value, str) or len(value) > MAX_TEXT_CHARACTERS:
            self.add_finding(
                f"is not a string of at most {MAX_TEXT_CHARACTERS} characters", key
            )
            return ""
        if not value and not allow_empty:
            self.add_finding("is empty", key)
        return value

    def integer(self, key: str) -> int:
        """Read an integer from 0 to `MAX_INTEGER`."""
        value = self._value.get(key)
        if type(value) is not int or not 0 <= value <= MAX_INTEGER:
            self.add_finding("is not a non-negative integer", key)
            return 0
        return value

    def boolean(self, key: str) -> bool:
        """Read a boolean."""
        value = self._value.get(key)
        if not isinstance(value, bool):
            self.add_finding("is not true or false", key)
            return False
        return value

    def any(self, key: str) -> Any:
        """Read a value of any kind; None if absent."""
        return self._value.get(key)

    def items(self, key: str, *, max_items: int) -> list[Any]:
        """Read a list of at most `max_items` items."""
        value = self._value.get(key)
        if not isinstance(value, list) or len(value) > max_items:
            self.add_finding(f"is not a list of at most {max_items} items", key)
            return []
        return value

    def objects(self, key: str, *, max_items: int) -> list["MessageReader"]:
        """Read a list of objects and return a reader for each."""
        return [
            MessageReader(
                value=item, findings=self.findings, path=(*self._path, key, index)
            )
            for index, item in enumerate(self.items(key, max_items=max_items))
        ]

    def nested(self, key: str) -> "MessageReader | None":
        """Return a reader for an object; None if it is null or absent."""
        value = self._value.get(key)
        if value is None:
            return None
        return MessageReader(
            value=value, findings=self.findings, path=(*self._path, key)
        )

    def raise_findings(self, subject: str) -> None:
        """
        Raise the findings collected so far, if any.

        :raises FindingsError: if there are findings.
        """
        if self.findings:
            raise FindingsError(subject=subject, findings=self.findings)
