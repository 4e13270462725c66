"""Replicas that are cold, and the bound on what they get, in virtual time."""

import asyncio
from collections.abc import Sequence
from typing import Any

from tests.fixtures_gateway import (
    BOOKING_SERVICE,
    READ_PATH,
    SETTLE_SECONDS,
    Cluster,
    make_route,
)
from tests.standin_replica import StandinReplica

# The platform's bound on what a cold replica gets in any second from all instances.
COLD_RATIO = 1.5
COLD_SLACK = 5
SETTINGS = {
    "bounds.coldOverage": str(COLD_RATIO),
    "bounds.coldSlack": str(COLD_SLACK),
}
COLD_MS = 60_000
LEARNING_SECONDS = 5.0  # until all instances use or know a new one


def allowed_in_a_second(per_second: float) -> float:
    return COLD_RATIO * per_second + COLD_SLACK


def most_in_a_second(replica: StandinReplica, since_seconds: float = 0.0) -> int:
    """Return the most requests that a replica received in any second since a time."""
    times = [item for item in replica.received_at_seconds if item >= since_seconds]
    return max(
        (sum(start <= item < start + 1.0 for item in times) for start in times),
        default=0,
    )


def set_cold_rate(
    cluster: Cluster, per_second: float, *routes: dict[str, Any], limit: int = 25
) -> None:
    """Write the configuration with a cold rate for all services."""
    services = {item.service for item in cluster.replicas.values()}
    cluster.configure(
        *(routes or cluster.routes),
        services=[
            {
                "name": name,
                "connectionLimit": limit,
                "coldStartS": COLD_MS / 1000,
                "coldPerS": per_second,
            }
            for name in sorted(services)
        ],
    )


async def start_cold_service(
    cluster: Cluster,
    *,
    instances: int,
    per_second: float,
    replicas: int = 2,
    cold_ms: int = COLD_MS,
) -> list[StandinReplica]:
    """Start instances, and a service whose replicas are all cold."""
    for _ in range(replicas):
        replica = cluster.add_replica(BOOKING_SERVICE, slots=20)
        cluster.register(replica, coldRemainingMs=cold_ms)
    set_cold_rate(
        cluster, per_second, make_route("r-read", READ_PATH, service=BOOKING_SERVICE)
    )
    for number in range(instances):
        cluster.start_gateway(f"g-{number + 1}", **SETTINGS)
    await asyncio.sleep(LEARNING_SECONDS + SETTLE_SECONDS)
    return list(cluster.replicas.values())


def is_kept(replicas: Sequence[StandinReplica], per_second: float) -> bool:
    return all(
        most_in_a_second(item) <= allowed_in_a_second(per_second) for item in replicas
    )
