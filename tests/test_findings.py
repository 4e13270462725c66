"""Tests of validation findings."""

from bronzebeam.findings import json_pointer


def test_json_pointer_escapes_separators() -> None:
    assert json_pointer(["services", 0, "a/b~c"]) == "/services/0/a~1b~0c"
