"""Explains where a request would go now, and why; sends and changes nothing."""

import asyncio
import gzip
import math
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import parse_qs

import orjson
from attrs import define, field, frozen

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.explained_admission import AdmissionExplainer
from bronzebeam.gateway.explained_quota import QuotaExplainer
from bronzebeam.gateway.explained_replicas import ReplicaExplainer
from bronzebeam.gateway.explained_services import ServiceExplainer
from bronzebeam.gateway.quota_gate import QUOTA_EXCEEDED, TOO_MANY_REQUESTS
from bronzebeam.gateway.router import KEY_UNCONFIRMED, UNKNOWN_KEY, time_to_target_ms
from bronzebeam.routing.accounts import Account
from bronzebeam.routing.crash_suspects import fingerprint
from bronzebeam.routing.hedge_timing import hedge_delay_ms
from bronzebeam.routing.regions import combine_regions
from bronzebeam.routing.routes import Route, RouteTable
from bronzebeam.transport.caller_request import HttpRequest
from bronzebeam.transport.http_reply import Headers
from bronzebeam.units import MS_PER_SECOND

EXPLAIN_PATH: Final = b"/explain"
NO_CONFIGURATION: Final = "no_configuration"
NO_ROUTE: Final = "no_route"
QUARANTINED: Final = "quarantined"
MAX_PARAMETERS: Final = 8
# A search of 135 shards takes 200 KB, and 6 KB compressed; links are slow.
MIN_COMPRESSED_BYTES: Final = 1_400
FAST_COMPRESSION: Final = 1


@frozen(kw_only=True)
class Question:
    """
    The request that is asked about.

    :ivar path: its target, with a query if there is one.
    :ivar account: name of the caller's account; empty if it is not known.
    """

    host: str
    path: str
    account: str = ""


@frozen(kw_only=True)
class Situation:
    """
    A request that has a route, and the state that it would meet.

    :ivar account: the caller's account; None if it is not known.
    :ivar regions: see `RoutedRequest`.
    :ivar replica_domains: see `RoutedRequest`.
    """

    question: Question
    table: RouteTable
    route: Route
    account: Account | None
    regions: frozenset[str] | None
    replica_domains: frozenset[str] | None


@frozen(kw_only=True)
class Refusal:
    """
    What would refuse the request.

    :ivar cause: as in the answer and in the log line of a refused request.
    """

    status: int
    cause: str


# A part of an explanation that another module adds, such as the state of a quota.
Section = Callable[[Situation], Any]
RefusalCheck = Callable[[Situation], Refusal | None]


class InvalidQuestion(Exception):
    """The parameters do not describe a request."""


@define(kw_only=True, eq=False, repr=False)
class Explainer:
    """
    Explains requests from the running state, by the functions of the request path.

    One question is answered at a time, and requests are handled in between.

    :ivar configuration_bound_seconds: see `GatewaySettings`.
    :ivar quota: explains the quota of the account.
    :ivar room: explains admission.
    :ivar sections: further parts of the explanation, by name.
    :ivar refusal_checks: what may refuse a request before it is sent, in the order in
        which the request path asks. Admission comes after them.
    """

    context: GatewayContext
    quota: QuotaExplainer
    room: AdmissionExplainer
    configuration_bound_seconds: float
    sections: dict[str, Section] = field(factory=dict)
    refusal_checks: list[RefusalCheck] = field(init=False)
    _turn: asyncio.Lock = field(factory=asyncio.Lock)
    _tasks: set[asyncio.Task[None]] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.refusal_checks = [self._check_quarantine, self._check_quota]

    def handle(self, request: HttpRequest) -> None:
        """Answer the request of an operator, as soon as earlier ones are answered."""
        task = self.context.loop.create_task(self._answer(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, request: HttpRequest) -> None:
        status = 200
        try:
            question = read_question(request.target)
            async with self._turn:
                body = orjson.dumps(await self.explain(question))
        except InvalidQuestion as error:
            body, status = orjson.dumps({"error": str(error)}), 400
        except Exception as error:
            # The text of an error may hold what was asked.
            self.context.log.event("explanation_failed", cause=type(error).__name__)
            body, status = orjson.dumps({"error": "the explanation has failed"}), 500
        headers: Headers = [(b"Content-Type", b"application/json")]
        if (
            len(body) > MIN_COMPRESSED_BYTES
            and b"gzip" in request.header(b"accept-encoding").lower()
        ):
            body = gzip.compress(body, FAST_COMPRESSION)
            headers.append((b"Content-Encoding", b"gzip"))
        request.respond(status=status, headers=headers, body=body)

    async def explain(self, question: Question) -> dict[str, Any]:
        """Return the explanation, which holds only values that JSON can express."""
        state = self.context.state
        table = state.table
        synced_ago = self.context.loop.time() - state.synced_at_seconds
        answer: dict[str, Any] = {
            "instance": state.instance,
            "domain": state.own_domain,
            "configuration_version": None if table is None else table.version,
            "store_age_ms": (
                None if math.isinf(synced_ago) else round(synced_ago * MS_PER_SECOND)
            ),
            "live_instances": state.peers.live_count,
            "evacuated": sorted(state.replicas.evacuated),
            "route": None,
            "account": None,
            "refused_by": [],
        }
        if table is None:
            return _refused(answer, Refusal(status=503, cause=NO_CONFIGURATION))
        path = question.path.encode()
        route = table.find(host=question.host, path=path.partition(b"?")[0])
        if route is None:
            return _refused(answer, Refusal(status=404, cause=NO_ROUTE))
        account = table.account_by_name(question.account) if question.account else None
        regions = combine_regions(route.regions, account.regions if account else ())
        situation = Situation(
            question=question,
            table=table,
            route=route,
            account=account,
            regions=regions,
            replica_domains=state.regions.domains_in(regions),
        )
        answer["route"] = _describe_route(route)
        answer["account"] = self._describe_account(situation)
        answer["regions"] = _describe_regions(situation)
        answer["quota"] = self.quota.describe(account)
        refusal = self._check_account(situation)
        if refusal is not None:
            _refused(answer, refusal)
        for check in self.refusal_checks:
            refusal = check(situation)
            if refusal is not None:
                _refused(answer, refusal)
        for name, describe in self.sections.items():
            answer[name] = describe(situation)
        await self._add_services(answer, situation)
        return answer

    async def _add_services(self, answer: dict[str, Any], situation: Situation) -> None:
        state, route = self.context.state, situation.route
        typical = state.known_latency(route)
        target_ms = time_to_target_ms(
            route,
            typical_ms=typical.typical_ms,
            link_bits_per_second=self.context.link_bits_per_second,
        )
        hedge_ms = hedge_delay_ms(
            typical_ms=typical.typical_ms,
            target_latency_ms=route.target_latency_ms,
            is_fan_out=bool(route.shards),
        )
        answer["admission"], cause = self.room.describe(
            table=situation.table,
            route=route,
            account=situation.account,
            target_ms=target_ms,
        )
        if cause:
            _refused(answer, Refusal(status=503, cause=cause))
        answer["timing"] = {
            "typical_ms": round(typical.typical_ms, 2),
            "time_to_target_ms": round(target_ms, 1),
            "hedge_after_ms": round(hedge_ms, 1) if route.idempotent else None,
            "usual_pace": round(typical.usual_load.pace, 2),
            "usual_queue": round(typical.usual_load.queue_factor, 2),
        }
        services = ServiceExplainer(
            state=state,
            target_ms=target_ms,
            regions=situation.regions,
            replicas=ReplicaExplainer(
                state=state,
                route=route,
                typical=typical,
                domains=situation.replica_domains,
            ),
        )
        describe = (
            services.describe_search if route.shards else services.describe_single
        )
        answer["services"], cause = await describe()
        if cause:
            _refused(answer, Refusal(status=503, cause=cause))

    def _describe_account(self, situation: Situation) -> dict[str, Any]:
        account = situation.account
        needs_key = bool(situation.table.accounts) and not situation.route.is_public
        if account is None:
            # An unknown name is not repeated: it may be a key that was given instead.
            is_unknown = bool(situation.question.account)
            return {"name": None, "is_unknown": is_unknown, "needs_key": needs_key}
        return {
            "name": account.name,
            "is_unknown": False,
            "needs_key": needs_key,
            "priority": account.priority,
            "is_limited": account.is_limited,
            "rate_per_second": account.rate_per_second,
            "burst_count": account.burst_count,
            "regions": list(account.regions),
        }

    # What may refuse a request.

    def _check_account(self, situation: Situation) -> Refusal | None:
        """Check the account, if one is named; without one the key is not known."""
        needs_key = situation.table.accounts and not situation.route.is_public
        if situation.account or not situation.question.account or not needs_key:
            return None
        state = self.context.state
        age_seconds = self.context.loop.time() - state.synced_at_seconds
        if age_seconds <= self.configuration_bound_seconds:
            return Refusal(status=401, cause=UNKNOWN_KEY)
        return Refusal(status=503, cause=KEY_UNCONFIRMED)

    def _check_quarantine(self, situation: Situation) -> Refusal | None:
        suspect = fingerprint(
            host=situation.question.host.encode(),
            target=situation.question.path.encode(),
            body=b"",
        )
        if self.context.state.suspects.is_quarantined(suspect):
            return Refusal(status=503, cause=QUARANTINED)
        return None

    def _check_quota(self, situation: Situation) -> Refusal | None:
        account = situation.account
        if account is None or not account.is_limited:
            return None
        if not self.quota.would_refuse(account):
            return None
        return Refusal(status=TOO_MANY_REQUESTS, cause=QUOTA_EXCEEDED)


def read_question(target: bytes) -> Question:
    """
    Read the parameters of a request for an explanation.

    Only the known ones are read; others, such as a key, are neither used nor repeated.

    :raises InvalidQuestion: if the host or the path is missing.
    """
    query = target.partition(b"?")[2]
    try:
        values = parse_qs(
            query.decode(), strict_parsing=bool(query), max_num_fields=MAX_PARAMETERS
        )
    except ValueError as error:
        raise InvalidQuestion("the parameters can't be read") from error
    host, path = (values.get(name, [""])[-1] for name in ("host", "path"))
    if not host:
        raise InvalidQuestion("host is missing")
    if not path.startswith("/"):
        raise InvalidQuestion("path is missing, or does not start with /")
    account = values.get("account", [""])[-1]
    return Question(host=host, path=path, account=account)


def _refused(answer: dict[str, Any], refusal: Refusal) -> dict[str, Any]:
    answer["refused_by"].append({"status": refusal.status, "cause": refusal.cause})
    return answer


def _describe_regions(situation: Situation) -> dict[str, Any]:
    return {
        "is_restricted": situation.regions is not None,
        "allowed": sorted(situation.regions or ()),
        "domains": sorted(situation.replica_domains or ()),
    }


def _describe_route(route: Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host,
        "path_prefix": route.path_prefix.decode("latin-1"),
        "is_search": bool(route.shards),
        "service_count": len(route.services),
        "idempotent": route.idempotent,
        "timeout_ms": route.timeout_ms,
        "target_latency_ms": route.target_latency_ms,
        "max_attempts": route.max_attempts,
        "priority": route.priority,
        "top_records": route.top_records,
        "least_shard_share": route.least_shard_share,
        "is_public": route.is_public,
        "regions": list(route.regions),
    }
