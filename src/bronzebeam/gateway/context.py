"""Objects shared by all request handlers of a gateway process."""

import asyncio
import math
import random

from attrs import define, field

from bronzebeam.gateway.crash_check import LostReplicas
from bronzebeam.gateway.fleet_state import FleetState
from bronzebeam.gateway.gateway_metrics import GatewayMetrics
from bronzebeam.gateway.header_codec import HeaderCodec
from bronzebeam.gateway.served_requests import ServedRequests
from bronzebeam.gateway.suspect_reports import SuspectReporter
from bronzebeam.routing.fan_out_delays import FanOutDelays
from bronzebeam.telemetry.decisions import DecisionLog


@define(kw_only=True, eq=False, repr=False)
class GatewayContext:
    """
    The shared objects, passed to every request handler.

    :ivar link_bits_per_second: see `GatewaySettings`.
    :ivar answer_by_seconds: monotonic time by which the last answers have to leave;
        infinite unless the process has been asked to stop.
    :ivar served: whether any of the callers' requests is served.
    :ivar delays: what fan-outs allow for around their cut-off.
    """

    state: FleetState
    header_codec: HeaderCodec
    loop: asyncio.AbstractEventLoop
    log: DecisionLog
    metrics: GatewayMetrics
    rng: random.Random
    suspect_reporter: SuspectReporter
    link_bits_per_second: float
    answer_by_seconds: float = math.inf
    delays: FanOutDelays = field(factory=FanOutDelays)
    lost_replicas: LostReplicas = field(factory=LostReplicas)
    served: ServedRequests = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.served = ServedRequests(metrics=self.metrics)
