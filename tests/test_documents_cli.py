"""Tests of the operators' commands against stand-ins, over the loopback interface."""

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
class CliTestbed:
    """
    Stand-ins of the store, the instance list and one entry.

    A second entry is in the instance list but not reachable.
    """

    directory: Path
    store_url: str
    instances_url: str
    entry_address: str
    entry_document: dict[str, Any] = field(factory=dict)

    def run(self, *arguments: str, entries: bool = False) -> Result:
        """Run a command; with `entries`, it also reads the status of the entries."""
        environment = {"BRONZEBEAM_STORE": self.store_url}
        if entries:
            environment["BRONZEBEAM_INSTANCES"] = self.instances_url
        return CliRunner().invoke(document, arguments, env=environment)

    def path(self, name: str) -> str:
        return str(self.directory / name)

    def post(self, path: str, **body: Any) -> None:
        httpx.post(self.store_url + path, json=body).raise_for_status()

    def set_burst(self, name: str, burst: int) -> None:
        path = self.directory / name
        value = json.loads(path.read_text())
        value["document"]["caller_limit"]["burst"] = burst
        path.write_text(json.dumps(value))

    def update_entry(self) -> None:
        """Set the document of the entry to the active document of the store."""

        async def main() -> None:
            async with HttpStore(base_url=self.store_url) as client:
                current = await read_current(client, "trial")
                assert current.accepted is not None
                self.entry_document = accepted_to_json(current.accepted)

        anyio.run(main)


@contextmanager
def running_testbed() -> Iterator[CliTestbed]:
    with TemporaryDirectory() as directory, running_servers() as start:

        async def serve_entry(address: str, port: int) -> None:
            app = build_json_app(lambda item: handle_entry_request(testbed, item))
            await serve_app(app, address=address, port=port)

        testbed = CliTestbed(
            directory=Path(directory),
            store_url="http://" + start(store.serve),
            instances_url="http://" + start(instances.serve),
            entry_address=start(serve_entry),
        )
        register_entry(testbed, "entry-1", testbed.entry_address)
        register_entry(testbed, "entry-2", f"127.0.0.1:{find_free_port()}")
        yield testbed


async def handle_entry_request(
    testbed: CliTestbed, request: JsonRequest
) -> JsonResponse:
    if request.path == "/internal/document":
        return JsonResponse(body=testbed.entry_document or None)
    revision = testbed.entry_document.get("revision", 0)
    body = {"instance": "entry-1", "incarnation": 1, "revision": revision}
    return JsonResponse(body={**body, "ready": revision > 0})


def register_entry(testbed: CliTestbed, name: str, peer_address: str) -> None:
    body = {
        "role": "entry",
        "service": None,
        "address": "127.0.0.1:9",
        "peer_address": peer_address,
        "failure_domain": "west-1",
        "state": "live",
    }
    httpx.put(f"{testbed.instances_url}/instances/{name}", json=body).raise_for_status()


def exit_codes(results: list[Result]) -> list[int]:
    return [result.exit_code for result in results]


def promote_first_document(testbed: CliTestbed) -> None:
    """Activate the first document of the environment `trial`."""
    source = str(EXAMPLES / "small" / "production.json")
    new = ("new", "trial", "--document", source, "--author", "ada")
    results = [
        testbed.run(*new, "--draft", testbed.path("first")),
        testbed.run("validate", testbed.path("first")),
        testbed.run("approve", testbed.path("first"), "--approver", "grace"),
        testbed.run("promote", testbed.path("first")),
    ]
    assert exit_codes(results) == [0, 0, 0, 0], [result.output for result in results]


def write_draft(
    testbed: CliTestbed, name: str, *, burst: int, author: str = "ada"
) -> None:
    edited = testbed.run(
        "edit", "trial", "--author", author, "--draft", testbed.path(name)
    )
    assert edited.exit_code == 0
    testbed.set_burst(name, burst)


def run_with_testbed(check: Callable[[CliTestbed], None]) -> None:
    with running_testbed() as testbed:
        promote_first_document(testbed)
        check(testbed)


def test_draft_is_approved_promoted_and_rolled_back() -> None:
    def check(testbed: CliTestbed) -> None:
        write_draft(testbed, "second", burst=7)
        early = testbed.run("promote", testbed.path("second"))
        assert early.exit_code == 2 and "not approved" in early.output
        shown = testbed.run("diff", testbed.path("second"))
        assert shown.output == "/caller_limit/burst: changed 500 -> 7\n"
        testbed.post("/faults", drop_write_replies=1)
        pair = ("--source", "trial", "--target", "production")
        lost = testbed.run("approve", testbed.path("second"), "--approver", "grace")
        assert lost.exit_code == 1
        testbed.post("/faults", drop_write_replies=2)
        results = [
            testbed.run("promote", testbed.path("second")),
            testbed.run("approve", *pair, "--approver", "grace"),
            testbed.run("promote", *pair),
            testbed.run(
                "rollback", "trial", "--to", "1", "--replaces", "2", "--author", "lin"
            ),
        ]
        assert exit_codes(results) == [0] * 4
        lines = testbed.run("history", "trial").output.splitlines()
        assert [line.split()[1] for line in lines] == [
            "revision=3",
            "revision=2",
            "revision=1",
        ]

    run_with_testbed(check)


def test_exit_codes_of_findings_conflicts_and_unavailable_store() -> None:
    def check(testbed: CliTestbed) -> None:
        write_draft(testbed, "ada", burst=7)
        write_draft(testbed, "lin", burst=8, author="lin")
        write_draft(testbed, "bad", burst=0)
        bad = testbed.run("validate", testbed.path("bad"))
        assert bad.exit_code == 2 and "/document/caller_limit/burst" in bad.output
        for name in ("ada", "lin"):
            testbed.run("approve", testbed.path(name), "--approver", "grace")
        assert testbed.run("promote", testbed.path("ada")).exit_code == 0
        lost = testbed.run("promote", testbed.path("lin"))
        assert lost.exit_code == 3
        assert "/caller_limit/burst: changed 7 -> 8" in lost.output
        testbed.post("/faults", refuse_all=True)
        assert testbed.run("history", "trial").exit_code == 1

    run_with_testbed(check)


def test_status_reports_outdated_store_until_document_is_restored() -> None:
    def check(testbed: CliTestbed) -> None:
        testbed.post("/snapshot/take")
        write_draft(testbed, "second", burst=7)
        testbed.run("approve", testbed.path("second"), "--approver", "grace")
        testbed.run("promote", testbed.path("second"))
        testbed.update_entry()
        even = testbed.run("status", "trial", entries=True)
        assert even.exit_code == 0
        assert "in_force=1 unreachable=1 highest_held=2" in even.output
        first, second = even.output.splitlines()[:2]
        assert (
            f"peer_address={testbed.entry_address}" in first and "ready=true" in first
        )
        assert second.startswith("instance=entry-2") and "unreachable=" in second
        testbed.post("/snapshot/restore")
        assert testbed.run("status", "trial", entries=True).exit_code == 3
        write_draft(testbed, "third", burst=9)
        testbed.run("approve", testbed.path("third"), "--approver", "grace")
        assert (
            testbed.run("promote", testbed.path("third"), entries=True).exit_code == 3
        )
        restored = testbed.run(
            "restore",
            "trial",
            "--entry",
            testbed.entry_address,
            "--replaces",
            "1",
            entries=True,
        )
        assert restored.exit_code == 0 and "revision=3" in restored.output
        testbed.update_entry()
        assert testbed.run("status", "trial", entries=True).exit_code == 0

    run_with_testbed(check)
