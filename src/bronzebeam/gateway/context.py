"""What the handling of every request has in common."""

import asyncio
import random

from attrs import define

from bronzebeam.gateway.dialect import HeaderCodec
from bronzebeam.gateway.fleet_state import FleetState
from bronzebeam.gateway.gateway_metrics import GatewayMetrics
from bronzebeam.gateway.suspect_reports import SuspectReporter
from bronzebeam.telemetry.decisions import DecisionLog


@define(kw_only=True, eq=False, repr=False)
class GatewayContext:
    """Services that request handlers use."""

    state: FleetState
    header_codec: HeaderCodec
    loop: asyncio.AbstractEventLoop
    log: DecisionLog
    metrics: GatewayMetrics
    rng: random.Random
    suspects: SuspectReporter
