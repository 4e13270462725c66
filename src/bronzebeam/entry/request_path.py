"""The request path of an entry: its filters, in order, and their controllers."""

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
class Baseline:
    """
    Parts switched off, as the baseline of an experiment.

    :ivar hedging: send hedges.
    :ivar choice: choose replicas by load, latency and health; else at random.
    :ivar admission: hold queries off by class, deadline and load.
    """

    hedging: bool = True
    admission: bool = True
    choice: bool = True


@define(kw_only=True, eq=False)
class RequestPath:
    """Builds and runs what a caller's request goes through."""

    settings: EntrySettings
    life: str
    store: Store
    usage: CallerUsage
    clock: Clock
    rng: random.Random
    tracing: Tracing
    baseline: Baseline = field(factory=Baseline)
    extra: ServiceBudgets = field(init=False)
    quarantine: QuarantineController = field(init=False)
    backends: BackendController = field(init=False)
    admission: AdmissionController = field(init=False)
    claims: ClaimsController = field(init=False)
    owned_keys: OwnedKeys = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.extra = ServiceBudgets(hedging=self.baseline.hedging)
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
            incarnation=self.life,
            log=log_event,
        )
        self.owned_keys = OwnedKeys(incarnation=self.life, clock=self.clock)

    def start(self, group: TaskGroup) -> None:
        """Run the controllers in `group`."""
        for controller in (self.quarantine, self.admission, self.claims):
            group.start_soon(controller.run)
        group.start_soon(self.backends.run)

    def chain(self, owner_route: HttpOwnerRoute | None) -> Handler:
        """
        Return the filter chain.

        :param owner_route: way to other owners of keys; None for requests that
            were forwarded here, which are never forwarded again.
        """
        ahead: list[Filter] = []
        if owner_route is not None:
            ahead.append(RateFilter(rates=self.usage))
        if self.baseline.admission:
            ahead.append(AdmissionFilter(admission=self.admission))
        idempotency = IdempotencyFilter(
            claims=self.claims,
            owned_keys=self.owned_keys,
            clock=self.clock,
            owner_route=owner_route,
            is_first_attempt=_is_first_attempt,
            log=log_event,
        )
        guard = ResendGuard(filters=ahead, is_first_attempt=_is_first_attempt)
        quarantine = QuarantineFilter(quarantine=self.quarantine, clock=self.clock)
        return build_chain((guard, idempotency, quarantine), self._last())

    def _last(self) -> Handler:
        dispatcher = Dispatcher(
            directory=self.backends,
            extra_load=self.extra,
            quarantine=self.quarantine,
            clock=self.clock,
            rng=self.rng,
            failure_domain=self.settings.failure_domain,
            tracing=self.tracing,
            choose_replica=choose_replica if self.baseline.choice else choose_at_random,
        )
        search = SearchHandler(dispatcher=dispatcher)
        call = CallHandler(dispatcher=dispatcher)

        async def answer(request: CallerRequest) -> Outcome:
            if request.operation is None:
                return await search.handle(request)
            return await call.handle(request)

        return answer


def _is_first_attempt(request: CallerRequest) -> bool:
    return request.first_attempt


def new_peer_client() -> httpx.AsyncClient:
    """Return the client that forwards requests to owners of keys."""
    return httpx.AsyncClient(trust_env=False, headers={"user-agent": "bronzebeam"})
