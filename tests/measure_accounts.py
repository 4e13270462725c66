"""
Memory and lookup time of client accounts, by the number of their keys.

Run by hand: ``python -m tests.measure_accounts``. Each size runs in the same process,
the largest last; times are the least of several rounds.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Final

import orjson

from bronzebeam.gateway.change_codec import (
    compress_response,
    decode_feed_response,
    encode_changes,
    encode_feed_response,
)
from bronzebeam.gateway.records import Change, RecordKind
from bronzebeam.platform.configuration import decode_configuration
from bronzebeam.routing.routes import RouteTable
from tests.fixtures_gateway import make_route

KEYS_PER_ACCOUNT: Final = 10
KEY_COUNTS: Final = (100, 1_000, 10_000, 100_000)
LOOKUPS: Final = 20_000
ROUNDS: Final = 7


def make_key(number: int) -> str:
    return f"key-{number:032x}"


def make_configuration(key_count: int) -> bytes:
    accounts = [
        {
            "name": f"account-{start}",
            "apiKeys": [make_key(start + n) for n in range(KEYS_PER_ACCOUNT)],
            "ratePerS": 10,
            "burst": 20,
        }
        for start in range(0, key_count, KEYS_PER_ACCOUNT)
    ]
    route = make_route("r", "/r/", service="s")
    return orjson.dumps({"version": 1, "routes": [route], "tenants": accounts})


def least_seconds(run: Callable[[], object], *, rounds: int = ROUNDS) -> float:
    def timed() -> float:
        start = time.perf_counter()
        run()
        return time.perf_counter() - start

    return min(timed() for _ in range(rounds))


def lookup_us(table: RouteTable, keys: list[bytes]) -> float:
    def look_up() -> None:
        for key in keys:
            table.account_by_key(key)

    return least_seconds(look_up) / len(keys) * 1e6


def measure(key_count: int) -> dict[str, float]:
    text = make_configuration(key_count)
    gc.collect()
    tracemalloc.start()
    table = decode_configuration(text)
    gc.collect()
    memory_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # In an order in which neighbours are far apart in memory.
    numbers = [n * 7_919 % key_count for n in range(LOOKUPS)]
    change = Change(kind=RecordKind.CONFIGURATION, name="", value=table)
    passed_on = encode_feed_response(
        revision=1, is_up_to_date=True, changes=encode_changes([change])
    )
    return {
        "keys": key_count,
        "memory_kb": round(memory_bytes / 1024, 1),
        "peak_kb": round(peak_bytes / 1024, 1),
        "known_us": round(lookup_us(table, [make_key(n).encode() for n in numbers]), 2),
        "unknown_us": round(
            lookup_us(table, [make_key(n + key_count).encode() for n in numbers]), 2
        ),
        "decode_ms": round(least_seconds(lambda: decode_configuration(text)) * 1e3, 1),
        "encode_ms": round(least_seconds(lambda: encode_changes([change])) * 1e3, 1),
        "compress_ms": round(
            least_seconds(lambda: compress_response(passed_on)) * 1e3, 1
        ),
        "follow_ms": round(
            least_seconds(lambda: decode_feed_response(passed_on)) * 1e3, 1
        ),
        "passed_on_kb": round(len(passed_on) / 1024, 1),
        "compressed_kb": round(len(compress_response(passed_on)) / 1024, 1),
    }


def main() -> None:
    for key_count in KEY_COUNTS:
        print(orjson.dumps(measure(key_count)).decode())


if __name__ == "__main__":
    main()
