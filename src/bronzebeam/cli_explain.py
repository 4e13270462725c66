"""The command that explains where a gateway would send a request now."""

import json
import sys
from collections.abc import Iterator, Mapping
from typing import Any, Final, NoReturn

import anyio
import click
import httpx

from bronzebeam.cli_output import EXIT_REJECTED, EXIT_UNAVAILABLE, format_line
from bronzebeam.transport.http_json import CallFailed, JsonClient, JsonReply

EXIT_REFUSED: Final = 3
EXPLAIN_PATH: Final = "/explain"
TIMEOUT_SECONDS: Final = 5.0
MAX_SHOWN_SHARDS: Final = 5
# Parts of an explanation with lines of their own; others are shown as they are.
KNOWN_PARTS: Final = frozenset({"route", "services", "refused_by"})


@click.command()
@click.option("--instance", required=True, help="Peer address (HOST:PORT) to ask.")
@click.option("--host", required=True, help="Host header of the request.")
@click.option("--path", required=True, help="Path of the request.")
@click.option("--account", help="Name of the caller's account; never a key.")
@click.option("--json", "as_json", is_flag=True, help="Print the whole answer as JSON.")
def explain(
    instance: str, host: str, path: str, account: str | None, as_json: bool
) -> None:
    """
    Explain where a gateway would send a request now, and why; nothing is sent.

    Exit codes: 0 if the request would be sent, 1 if the instance gave no usable answer,
    2 for wrong usage, 3 if the request would be refused.
    """
    question = {"host": host, "path": path}
    if account:
        question["account"] = account
    try:
        reply = anyio.run(_ask, instance, question)
    except (CallFailed, httpx.InvalidURL) as error:
        _exit_with(EXIT_UNAVAILABLE, f"{instance} gave no usable answer: {error}")
    answer = reply.body
    if not isinstance(answer, dict) or (reply.status == 200 and "route" not in answer):
        _exit_with(EXIT_UNAVAILABLE, f"{instance} gave no usable answer: not a gateway")
    if reply.status != 200:
        _exit_with(EXIT_REJECTED, f"{instance}: {answer.get('error')}")
    if as_json:
        click.echo(json.dumps(answer, indent=2))
    else:
        for line in format_explanation(answer):
            click.echo(line)
    sys.exit(EXIT_REFUSED if answer.get("refused_by") else 0)


def format_explanation(answer: Mapping[str, Any]) -> Iterator[str]:
    """
    Format an explanation as lines of key=value pairs.

    Of a search, only the shards that are missing or expected last are shown.
    """
    facts = {
        name: value
        for name, value in answer.items()
        if name not in KNOWN_PARTS and not isinstance(value, (dict, list))
    }
    yield format_line(**facts)
    route = answer.get("route")
    if route is not None:
        yield _format_part("route", route)
    for name, value in answer.items():
        if name not in KNOWN_PARTS and isinstance(value, (dict, list)):
            yield _format_part(name, value)
    services = answer.get("services", [])
    if route is not None and route["is_search"]:
        yield from _format_search(services)
    else:
        for item in services:
            yield from _format_service(item)
    yield from _format_refusals(answer)


def _format_refusals(answer: Mapping[str, Any]) -> Iterator[str]:
    refusals = answer.get("refused_by", [])
    for item in refusals:
        yield "refused: " + format_line(**item)
    if not refusals:
        yield "refused: no"
    account = answer.get("account")
    if account and account["needs_key"] and account["name"] is None:
        yield "note: the request needs a key; name its account with --account"


def _format_search(shards: list[dict[str, Any]]) -> Iterator[str]:
    missing = [item for item in shards if item["missing_cause"]]
    through_peers = [item for item in shards if item["peer_asked_because"]]
    estimates = sorted(
        item["estimate_ms"] for item in shards if item["estimate_ms"] is not None
    )
    replicas = [replica for item in shards for replica in item["replicas"]]
    yield "shards: " + format_line(
        count=len(shards),
        here=len(shards) - len(missing) - len(through_peers),
        through_peers=len(through_peers),
        missing=len(missing),
        median_estimate_ms=estimates[len(estimates) // 2] if estimates else None,
        highest_estimate_ms=estimates[-1] if estimates else None,
        least_remaining_repeats=min(
            (item["remaining_repeats"] for item in shards), default=None
        ),
    )
    for title, items in (
        ("missing", [item["missing_cause"] for item in missing]),
        ("peers asked", [item["peer_asked_because"] for item in through_peers]),
        ("excluded", [name for item in replicas for name in item["excluded_by"]]),
        ("conditions", [name for item in replicas for name in item["conditions"]]),
    ):
        if items:
            counts = {name: items.count(name) for name in sorted(set(items))}
            yield f"{title}: {format_line(**counts)}"
    worst = sorted(
        shards,
        key=lambda item: (not item["missing_cause"], -(item["estimate_ms"] or 0.0)),
    )[:MAX_SHOWN_SHARDS]
    if len(worst) < len(shards):
        yield f"the {len(worst)} shards that are missing or expected last:"
    for item in worst:
        yield from _format_service(item)


def _format_service(item: Mapping[str, Any]) -> Iterator[str]:
    fields = {
        name: value
        for name, value in item.items()
        if name != "replicas" and value not in ("", None, [])
    }
    fields.setdefault("chosen", "none")
    fields.pop("peers", None)
    if item["peers"]:
        fields["peers"] = ",".join(item["peers"])
    yield format_line(**fields)
    for replica in item["replicas"]:
        yield "  " + _format_replica(replica)


def _format_replica(replica: Mapping[str, Any]) -> str:
    fields: dict[str, Any] = {
        "replica": replica["replica"],
        "domain": replica["domain"],
    }
    if replica["excluded_by"]:
        fields["excluded_by"] = ",".join(replica["excluded_by"])
    else:
        for name in ("score_ms", "estimate_ms", "extra_cost_ms", "may_be_chosen"):
            fields[name] = replica[name]
    if replica["conditions"]:
        fields["conditions"] = ",".join(replica["conditions"])
    if replica["may_be_chosen"] and not replica["has_spread"]:
        fields["has_spread"] = False
    if "cold" in replica["excluded_by"]:
        fields["cold_senders"] = ",".join(replica["cold_senders"])
    for name in ("paused_ms", "cold_ms", "next_turn_ms"):
        if replica[name]:
            fields[name] = replica[name]
    parts = replica["parts"]
    for name in ("latency_factor", "in_flight", "slots", "failure_share"):
        fields[name] = parts[name]
    if not parts["is_connected"]:
        fields["is_connected"] = False
    reading = replica["reading"]
    if reading is not None and reading["is_used"]:
        for name in ("running", "waiting", "pace", "age_ms"):
            fields[f"stated_{name}"] = reading[name]
    return format_line(**fields)


def _format_part(name: str, value: Any) -> str:
    """Format a part of an explanation that holds only plain values."""
    if isinstance(value, dict):
        return f"{name}: {format_line(**{str(k): _plain(v) for k, v in value.items()})}"
    return f"{name}: {_plain(value)}"


def _plain(value: Any) -> Any:
    if isinstance(value, (dict, list)):
        return json.dumps(value) if value else "none"
    return value


async def _ask(instance: str, question: dict[str, str]) -> JsonReply:
    client = JsonClient(base_url=f"http://{instance}")
    try:
        return await client.call(
            "GET",
            EXPLAIN_PATH,
            timeout_seconds=TIMEOUT_SECONDS,
            params=question,
            accepted_statuses=(200, 400),
        )
    finally:
        await client.close()


def _exit_with(code: int, message: str) -> NoReturn:
    click.echo(message, err=True)
    sys.exit(code)
