"""Environment documents for rigs."""

from typing import Any, Final

SEARCH_SERVICE: Final = "guest-search"
CALL_SERVICE: Final = "attendee"
SEARCH_PATH: Final = f"/v1/services/{SEARCH_SERVICE}/search"
FIND_PATH: Final = f"/v1/services/{CALL_SERVICE}/calls/find"
BOOK_PATH: Final = f"/v1/services/{CALL_SERVICE}/calls/register"


def rig_document(
    *,
    shard_count: int,
    entry_count: int = 8,
    overlapping_count: int = 0,
    slot_count: int = 2,
    soft_deadline_ms: int | None = None,
) -> dict[str, Any]:
    """Build a document with one search service and one call service."""
    coverage: dict[str, Any] = {}
    if soft_deadline_ms is not None:
        coverage["soft_deadline_ms"] = soft_deadline_ms
    deadline = {"default_ms": 500, "maximum_ms": 10_000}
    return {
        "environment": "rig",
        "fleet": {
            "entry_instances": entry_count,
            "overlapping_instances": overlapping_count,
        },
        "classes": [
            {"name": "check-in", "priority": 0},
            {"name": "planner", "priority": 1},
        ],
        "caller_limit": {"rate_per_second": 100_000, "burst": 100_000},
        "services": [
            {
                "name": SEARCH_SERVICE,
                "kind": "search",
                "shards": shard_count,
                "replicas": 2,
                "backend": {"slots": slot_count, "connections": 25, "connect_ms": 6},
                "deadline": deadline,
                "coverage": coverage,
            },
            {
                "name": CALL_SERVICE,
                "kind": "call",
                "replicas": 3,
                "backend": {"slots": slot_count, "connections": 100, "connect_ms": 1},
                "deadline": deadline,
                "operations": [
                    {"name": "find", "idempotent": True},
                    {"name": "register", "idempotent": False},
                ],
            },
        ],
    }
