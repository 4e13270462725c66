"""Fault switches of the backend server stand-in."""

from attrs import define


@define(kw_only=True)
class BackendFaults:
    """
    Service times and injected faults; each field can be set by `POST /faults`.

    :ivar service_ms: mean service time of a request.
    :ivar slow_share: share of requests that take `slow_factor` times as long.
    :ivar cold_ms: time after the start during which requests take `cold_factor`
        times as long.
    :ivar connect_ms: delay before a new connection is served.
    :ivar queue: number of requests that may wait for a slot; others are rejected.
    :ivar draining: new requests are rejected.
    :ivar silent: connections that are open when it is set send no more replies; new
        connections work.
    :ivar frozen: no connection sends replies.
    :ivar lie_healthy: the status reply reports no load and no draining.
    :ivar truncate_share: share of replies with truncated JSON in a valid HTTP response.
    :ivar swap_share: share of replies replaced by the complete reply to the previous
        request.
    """

    service_ms: float = 5.0
    slow_share: float = 0.0
    slow_factor: float = 20.0
    cold_ms: float = 0.0
    cold_factor: float = 5.0
    connect_ms: float = 6.0
    queue: int = 50
    draining: bool = False
    silent: bool = False
    frozen: bool = False
    lie_healthy: bool = False
    truncate_share: float = 0.0
    swap_share: float = 0.0
