"""Tests of the operators' commands against the stand-ins, over loopback."""

import json
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import anyio
import httpx
from attrs import define, field
from click.testing import CliRunner, Result

from bronzebeam.cli_document import document
from bronzebeam.documents.loading import accepted_to_json
from bronzebeam.documents.storage import read_current
from bronzebeam.standins import instances, store
from bronzebeam.standins.http_json import (
    JsonRequest,
    JsonResponse,
    build_json_app,
    serve_app,
)
from bronzebeam.transport.store_http import HttpStore
from tests.fixtures_documents import EXAMPLES
from tests.fixtures_serving import find_free_port, running_servers


@define(kw_only=True)
class Rig:
    """Stand-ins of the store, the instance list and two entries, one of them silent."""

    directory: Path
    store_url: str
    instances_url: str
    entry_address: str
    held: dict[str, Any] = field(factory=dict)

    def run(self, *arguments: str, entries: bool = False) -> Result:
        """Run a command in the working directory; `entries` asks them first."""
        environment = {"BRONZEBEAM_STORE": self.store_url}
        if entries:
            environment["BRONZEBEAM_INSTANCES"] = self.instances_url
        return CliRunner().invoke(document, arguments, env=environment)

    def path(self, name: str) -> str:
        return str(self.directory / name)

    def post(self, path: str, **body: Any) -> None:
        httpx.post(self.store_url + path, json=body).raise_for_status()

    def change(self, name: str, burst: int) -> None:
        path = self.directory / name
        value = json.loads(path.read_text())
        value["document"]["caller_limit"]["burst"] = burst
        path.write_text(json.dumps(value))

    def take(self) -> None:
        """Let the entry take what the store holds."""

        async def main() -> None:
            async with HttpStore(base_url=self.store_url) as client:
                current = await read_current(client, "trial")
                assert current.accepted is not None
                self.held = accepted_to_json(current.accepted)

        anyio.run(main)


@contextmanager
def running_rig() -> Iterator[Rig]:
    with TemporaryDirectory() as directory, running_servers() as start:

        async def serve_entry(address: str, port: int) -> None:
            app = build_json_app(lambda item: answer(rig, item))
            await serve_app(app, address=address, port=port)

        rig = Rig(
            directory=Path(directory),
            store_url="http://" + start(store.serve),
            instances_url="http://" + start(instances.serve),
            entry_address=start(serve_entry),
        )
        list_entry(rig, "entry-1", rig.entry_address)
        list_entry(rig, "entry-2", f"127.0.0.1:{find_free_port()}")
        yield rig


async def answer(rig: Rig, request: JsonRequest) -> JsonResponse:
    if request.path == "/internal/document":
        return JsonResponse(body=rig.held or None)
    revision = rig.held.get("revision", 0)
    body = {"instance": "entry-1", "incarnation": 1, "revision": revision}
    return JsonResponse(body={**body, "ready": revision > 0})


def list_entry(rig: Rig, name: str, peer_address: str) -> None:
    body = {
        "role": "entry",
        "service": None,
        "address": "127.0.0.1:9",
        "peer_address": peer_address,
        "failure_domain": "west-1",
        "state": "live",
    }
    httpx.put(f"{rig.instances_url}/instances/{name}", json=body).raise_for_status()


def codes(results: list[Result]) -> list[int]:
    return [result.exit_code for result in results]


def begin(rig: Rig) -> None:
    """Put the first document of trial in force."""
    source = str(EXAMPLES / "small" / "production.json")
    new = ("new", "trial", "--document", source, "--author", "ada")
    results = [
        rig.run(*new, "--draft", rig.path("first")),
        rig.run("validate", rig.path("first")),
        rig.run("approve", rig.path("first"), "--approver", "grace"),
        rig.run("promote", rig.path("first")),
    ]
    assert codes(results) == [0, 0, 0, 0], [result.output for result in results]


def edit(rig: Rig, name: str, *, burst: int, author: str = "ada") -> None:
    edited = rig.run("edit", "trial", "--author", author, "--draft", rig.path(name))
    assert edited.exit_code == 0
    rig.change(name, burst)


def with_rig(check: Callable[[Rig], None]) -> None:
    with running_rig() as rig:
        begin(rig)
        check(rig)


def test_draft_is_reviewed_promoted_and_rolled_back() -> None:
    def check(rig: Rig) -> None:
        edit(rig, "second", burst=7)
        early = rig.run("promote", rig.path("second"))
        assert early.exit_code == 2 and "not approved" in early.output
        shown = rig.run("diff", rig.path("second"))
        assert shown.output == "/caller_limit/burst: changed 500 -> 7\n"
        rig.post("/faults", drop_write_replies=1)
        pair = ("--source", "trial", "--target", "production")
        lost = rig.run("approve", rig.path("second"), "--approver", "grace")
        assert lost.exit_code == 1
        rig.post("/faults", drop_write_replies=2)
        results = [
            rig.run("promote", rig.path("second")),
            rig.run("approve", *pair, "--approver", "grace"),
            rig.run("promote", *pair),
            rig.run(
                "rollback", "trial", "--to", "1", "--replaces", "2", "--author", "lin"
            ),
        ]
        assert codes(results) == [0] * 4
        lines = rig.run("history", "trial").output.splitlines()
        assert [line.split()[1] for line in lines] == [
            "revision=3",
            "revision=2",
            "revision=1",
        ]

    with_rig(check)


def test_findings_and_conflicts_have_their_exit_codes() -> None:
    def check(rig: Rig) -> None:
        edit(rig, "ada", burst=7)
        edit(rig, "lin", burst=8, author="lin")
        edit(rig, "bad", burst=0)
        bad = rig.run("validate", rig.path("bad"))
        assert bad.exit_code == 2 and "/document/caller_limit/burst" in bad.output
        for name in ("ada", "lin"):
            rig.run("approve", rig.path(name), "--approver", "grace")
        assert rig.run("promote", rig.path("ada")).exit_code == 0
        lost = rig.run("promote", rig.path("lin"))
        assert lost.exit_code == 3
        assert "/caller_limit/burst: changed 7 -> 8" in lost.output
        rig.post("/faults", refuse_all=True)
        assert rig.run("history", "trial").exit_code == 1

    with_rig(check)


def test_status_shows_entries_and_restore_mends_an_older_store() -> None:
    def check(rig: Rig) -> None:
        rig.post("/snapshot/take")
        edit(rig, "second", burst=7)
        rig.run("approve", rig.path("second"), "--approver", "grace")
        rig.run("promote", rig.path("second"))
        rig.take()
        even = rig.run("status", "trial", entries=True)
        assert even.exit_code == 0
        assert "in_force=1 unreachable=1 highest_held=2" in even.output
        first, second = even.output.splitlines()[:2]
        assert f"peer_address={rig.entry_address}" in first and "ready=true" in first
        assert second.startswith("instance=entry-2") and "unreachable=" in second
        rig.post("/snapshot/restore")
        assert rig.run("status", "trial", entries=True).exit_code == 3
        edit(rig, "third", burst=9)
        rig.run("approve", rig.path("third"), "--approver", "grace")
        assert rig.run("promote", rig.path("third"), entries=True).exit_code == 3
        restored = rig.run(
            "restore",
            "trial",
            "--entry",
            rig.entry_address,
            "--replaces",
            "1",
            entries=True,
        )
        assert restored.exit_code == 0 and "revision=3" in restored.output
        rig.take()
        assert rig.run("status", "trial", entries=True).exit_code == 0

    with_rig(check)
