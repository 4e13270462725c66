"""
Measures how long a reported load takes to parse; run by hand.

A search reads one in each of 135 replies, so a parse should take about a microsecond.
"""

import timeit

from bronzebeam.routing.reported_load import read_load
from bronzebeam.units import MS_PER_SECOND

PARSE_COUNT = 5_000
ROUNDS = 20


def parse_us() -> float:
    """Return the time of one parse in the best round, in microseconds."""
    best_seconds = min(
        timeit.repeat(
            lambda: read_load(b"2,3,2,115", at_seconds=1.0),
            number=PARSE_COUNT,
            repeat=ROUNDS,
        )
    )
    return best_seconds / PARSE_COUNT * MS_PER_SECOND * MS_PER_SECOND


if __name__ == "__main__":
    print(f"{parse_us():.2f} us a parse")
