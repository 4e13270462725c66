"""Tests of requests that one entry hands to the owner of their key."""

from collections.abc import Mapping
from typing import Any

import anyio
import httpx
import orjson
from attrs import evolve

from bronzebeam.clock import SystemClock
from bronzebeam.entry.forwarding import ForwardRoute
from bronzebeam.entry.lifecycle import Lifecycle
from bronzebeam.filters.chain import CallerRequest, Handler
from bronzebeam.outcomes import Answered, NotRun, Outcome, OutcomeUnknown, Refused
from bronzebeam.routing.membership_state import MemberRecord, MemberState
from bronzebeam.settings import DrainSettings
from bronzebeam.transport.outcome_codec import outcome_from_json, outcome_to_json
from bronzebeam.transport.owner_route import HttpOwnerRoute, incarnation_id
from tests.fixtures_callers import BOOK_PATH, make_document, parse_accepted

OUTCOMES: tuple[Outcome, ...] = (
    Answered(result={"seat": 4}),
    NotRun(reason="draining", retry_after_ms=5, detail="d", extra={"offered_key": "k"}),
    OutcomeUnknown(reason="timeout", retry_after_ms=500),
    Refused(reason="quarantined", retry_after_ms=60_000, ran=True),
)
OWNER = MemberRecord(
    instance="entry-2",
    incarnation=7,
    state=MemberState.LIVE,
    address="127.0.0.1:1",
    peer_address="127.0.0.1:2",
    failure_domain="a",
)
LIFE = incarnation_id(instance="entry-2", incarnation=7)


def _request() -> CallerRequest:
    request = parse_accepted(
        path=BOOK_PATH,
        headers={"idempotency-key": "k-1", "bronzebeam-caller": "ward-3"},
    )
    return evolve(request, deadline_at_seconds=anyio.current_time() + 1.0)


def _forward_route(chain: Handler) -> ForwardRoute:
    clock = SystemClock()
    lifecycle = Lifecycle(drain_settings=DrainSettings(), clock=clock)
    return ForwardRoute(
        chain=chain, document=make_document, lifecycle=lifecycle, clock=clock
    )


def _route(answer: httpx.MockTransport) -> HttpOwnerRoute:
    members: Mapping[str, MemberRecord] = {"entry-2": OWNER}
    return HttpOwnerRoute(
        members=lambda: members,
        client=httpx.AsyncClient(transport=answer),
        clock=SystemClock(),
    )


def test_outcomes_survive_the_way_between_entries() -> None:
    for outcome in OUTCOMES:
        encoded = orjson.loads(orjson.dumps(outcome_to_json(outcome)))
        assert outcome_from_json(encoded) == outcome


def test_malformed_outcomes_are_value_errors() -> None:
    values: list[Any] = [None, [], {}, {"tag": "x"}, {"tag": "not_run", "odd": 1}, 3]
    for value in values:
        try:
            outcome_from_json(value)
        except ValueError:
            continue
        raise AssertionError(value)


def test_request_reaches_the_owner_whole_and_its_answer_comes_back() -> None:
    seen: list[CallerRequest] = []

    in_flight: list[int] = []

    async def chain(request: CallerRequest) -> Outcome:
        seen.append(request)
        in_flight.append(forward.lifecycle.in_flight)
        return OUTCOMES[0]

    forward = _forward_route(chain)

    async def main() -> None:
        async def serve(request: httpx.Request) -> httpx.Response:
            response = await forward.answer(request.content)
            return httpx.Response(response.status, content=response.body)

        sent = _request()
        outcome = await _route(httpx.MockTransport(serve)).forward(
            incarnation=LIFE, request=sent
        )
        assert outcome == OUTCOMES[0]
        assert in_flight == [1] and forward.lifecycle.in_flight == 0
        [got] = seen
        assert got.fingerprint == sent.fingerprint
        assert got.idempotency_key == "k-1" and got.caller == "ward-3"
        assert abs(got.deadline_at_seconds - sent.deadline_at_seconds) < 1

    anyio.run(main)


def test_unknown_lives_and_broken_answers_give_no_outcome() -> None:
    async def main() -> None:
        for content in (b"", b"{", b"[]", b'{"tag": "x"}'):
            route = _route(
                httpx.MockTransport(
                    lambda request: httpx.Response(200, content=content)
                )
            )
            assert await route.forward(incarnation=LIFE, request=_request()) is None

    anyio.run(main)


def test_request_for_another_life_is_sent_to_nobody() -> None:
    async def main() -> None:
        def serve(request: httpx.Request) -> httpx.Response:
            raise AssertionError("the request was sent")

        route = _route(httpx.MockTransport(serve))
        other_life = incarnation_id(instance="entry-2", incarnation=8)
        assert await route.forward(incarnation=other_life, request=_request()) is None

    anyio.run(main)


def test_malformed_forwarded_requests_are_refused() -> None:
    async def main() -> None:
        async def chain(request: CallerRequest) -> Outcome:
            raise AssertionError("a malformed request ran")

        forward = _forward_route(chain)
        for body in (b"", b"[]", b"{}", b"null", b'{"service": 1}'):
            assert (await forward.answer(body)).status == 400

    anyio.run(main)
