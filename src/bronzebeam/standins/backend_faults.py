"""Fault switches of the backend server stand-in."""

from attrs import define


@define(kw_only=True)
class BackendFaults:
    """
    Behaviour of the stand-in; each field can be set by `POST /faults`.

    :ivar service_ms: mean service time of a request.
    :ivar slow_share: share of requests that take `slow_factor` times as long.
    :ivar cold_ms: time after the start during which requests take `cold_factor`
        times as long.
    :ivar queue: requests that may wait for a slot; more are shed.
    :ivar silent: connections open when it is set answer nothing, new ones work.
    :ivar frozen: nothing answers.
    :ivar lie_healthy: the status reply denies draining and load.
    :ivar truncate_share: share of replies that end early as valid HTTP.
    :ivar swap_share: share of replies that are whole replies to the request before.
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
