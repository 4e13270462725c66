"""The request pipeline of an entry: its filters, in order, and their controllers."""

import random

import httpx
from anyio.abc import TaskGroup
from attrs import define, field

from bronzebeam.clock import Clock
from bronzebeam.controllers.admission import AdmissionController
from bronzebeam.controllers.backends import BackendController
from bronzebeam.controllers.caller_usage import CallerUsage
from bronzebeam.controllers.claims import ClaimsController
from bronzebeam.controllers.owned_keys import OwnedKeys
from bronzebeam.controllers.quarantine import QuarantineController
from bronzebeam.controllers.service_budgets import ServiceBudgets
from bronzebeam.filters.admission import AdmissionFilter, RateFilter
from bronzebeam.filters.call import CallHandler
from bronzebeam.filters.chain import CallerRequest, Filter, Handler, build_chain
from bronzebeam.filters.dispatch import Dispatcher
from bronzebeam.filters.idempotency import IdempotencyFilter
from bronzebeam.filters.quarantine import QuarantineFilter
from bronzebeam.filters.resends import ResendGuard
from bronzebeam.filters.search import SearchHandler
from bronzebeam.outcomes import Outcome
from bronzebeam.routing.choice import choose_at_random, choose_replica
from bronzebeam.settings import EntrySettings
from bronzebeam.telemetry.logs import log_event
from bronzebeam.telemetry.traces import Tracing
from bronzebeam.transport.channel import ProtocolChannelFactory
from bronzebeam.transport.owner_route import HttpOwnerRoute
from bronzebeam.transport.store import Store


@define(kw_only=True)
class FeatureSwitches:
    """
    Features that can be disabled, to measure the baseline of an experiment.

    :ivar hedging: send hedges.
    :ivar admission: reject queries by class, deadline and load.
    :ivar replica_choice: choose replicas by load, latency and health; if disabled,
        at random.
    """

    hedging: bool = True
    admission: bool = True
    replica_choice: bool = True


@define(kw_only=True, eq=False)
class RequestPipeline:
    """Creates and runs the controllers and filters that process callers' requests."""

    settings: EntrySettings
    incarnation_id: str
    store: Store
    caller_usage: CallerUsage
    clock: Clock
    rng: random.Random
    tracing: Tracing
    features: FeatureSwitches = field(factory=FeatureSwitches)
    service_budgets: ServiceBudgets = field(init=False)
    quarantine: QuarantineController = field(init=False)
    backends: BackendController = field(init=False)
    admission: AdmissionController = field(init=False)
    claims: ClaimsController = field(init=False)
    owned_keys: OwnedKeys = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.service_budgets = ServiceBudgets(hedging=self.features.hedging)
        self.quarantine = QuarantineController(clock=self.clock)
        self.backends = BackendController(
            clock=self.clock,
            channels=ProtocolChannelFactory(),
            observers=(self.quarantine.post,),
        )
        self.admission = AdmissionController(clock=self.clock, rng=self.rng)
        self.claims = ClaimsController(
            store=self.store,
            clock=self.clock,
            environment=self.settings.environment,
            incarnation=self.incarnation_id,
            log=log_event,
        )
        self.owned_keys = OwnedKeys(incarnation=self.incarnation_id, clock=self.clock)

    def start(self, group: TaskGroup) -> None:
        """Start the controllers in `group`."""
        for controller in (self.quarantine, self.admission, self.claims):
            group.start_soon(controller.run)
        group.start_soon(self.backends.run)

    def build_filter_chain(self, owner_route: HttpOwnerRoute | None) -> Handler:
        """
        Return the filter chain.

        :param owner_route: forwards requests to the owners of their keys; None for
            requests from other entries, which are never forwarded again.
        """
        leading_filters: list[Filter] = []
        if owner_route is not None:
            leading_filters.append(RateFilter(rates=self.caller_usage))
        if self.features.admission:
            leading_filters.append(AdmissionFilter(admission=self.admission))
        idempotency = IdempotencyFilter(
            claims=self.claims,
            owned_keys=self.owned_keys,
            clock=self.clock,
            owner_route=owner_route,
            is_first_attempt=_is_first_attempt,
            log=log_event,
        )
        resend_guard = ResendGuard(
            filters=leading_filters, is_first_attempt=_is_first_attempt
        )
        quarantine = QuarantineFilter(quarantine=self.quarantine, clock=self.clock)
        return build_chain(
            (resend_guard, idempotency, quarantine), self._build_final_handler()
        )

    def _build_final_handler(self) -> Handler:
        dispatcher = Dispatcher(
            directory=self.backends,
            extra_load=self.service_budgets,
            quarantine=self.quarantine,
            clock=self.clock,
            rng=self.rng,
            failure_domain=self.settings.failure_domain,
            tracing=self.tracing,
            choose_replica=(
                choose_replica if self.features.replica_choice else choose_at_random
            ),
        )
        search = SearchHandler(dispatcher=dispatcher)
        call = CallHandler(dispatcher=dispatcher)

        async def handle(request: CallerRequest) -> Outcome:
            if request.operation is None:
                return await search.handle(request)
            return await call.handle(request)

        return handle


def _is_first_attempt(request: CallerRequest) -> bool:
    return request.first_attempt


def create_peer_client() -> httpx.AsyncClient:
    """Return the HTTP client that forwards requests to the owners of their keys."""
    return httpx.AsyncClient(trust_env=False, headers={"user-agent": "bronzebeam"})
