"""Tests that no server takes a gateway beyond its memory, with real processes."""

from tests.fixtures_endless import (
    ReplyForm,
    SendingServer,
    call_servers,
    call_with_forms,
    run_with_limited_memory,
)
from tests.test_gateway_process import LOOPBACK, RealGateway

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
SIGNED = OK + b"X-Bronzebeam-Replica-Signature: s\r\n"
LARGE = b"x" * 65_536
LARGE_CHUNK = b"10000\r\n" + LARGE + b"\r\n"
TINY_CHUNK = b"2\r\nxy\r\n"
LAST_CHUNK = CHUNKED + b"1\r\nx\r\n0\r\n"
MEGABYTE = 1024 * 1024


def run_with_forms(*forms: ReplyForm) -> None:
    async def use(gateway: RealGateway) -> None:
        await call_with_forms(gateway, forms)

    run_with_limited_memory(use)


def test_body_without_end_stays_within_the_memory() -> None:
    run_with_forms(ReplyForm(name="unframed", start=OK + b"\r\n", part=LARGE))


def test_body_of_a_huge_length_stays_within_the_memory() -> None:
    start = OK + b"Content-Length: 999999999999\r\n\r\n"
    run_with_forms(ReplyForm(name="length", start=start, part=LARGE))


def test_large_chunks_without_end_stay_within_the_memory() -> None:
    run_with_forms(ReplyForm(name="chunks", start=CHUNKED, part=LARGE_CHUNK))


def test_tiny_chunks_without_end_stay_within_the_memory() -> None:
    run_with_forms(ReplyForm(name="tiny", start=CHUNKED, part=TINY_CHUNK))


def test_heads_without_end_stay_within_the_memory() -> None:
    run_with_forms(
        ReplyForm(name="headers", start=OK, part=b"x-more: and more\r\n"),
        ReplyForm(name="header", start=OK + b"x-long: ", part=b"0123456789"),
        ReplyForm(name="name", start=OK, part=b"x"),
        ReplyForm(name="status", start=b"HTTP/1.1 200 ", part=b"x"),
    )


def test_tiny_headers_without_end_stay_within_the_memory() -> None:
    run_with_forms(ReplyForm(name="small", start=OK, part=b"a:\r\n"))


def test_interim_replies_without_end_stay_within_the_memory() -> None:
    interim = b"HTTP/1.1 102 Processing\r\n"
    run_with_forms(
        ReplyForm(name="interim", start=b"", part=interim + b"\r\n"),
        ReplyForm(name="hints", start=b"", part=interim + b"a:\r\n" * 9 + b"\r\n"),
    )


def test_trailers_without_end_stay_within_the_memory() -> None:
    run_with_forms(
        ReplyForm(name="trailers", start=LAST_CHUNK, part=b"a:\r\n"),
        ReplyForm(name="trailer", start=LAST_CHUNK + b"x-long: ", part=b"0123456789"),
    )


def test_chunk_extension_without_end_stays_within_the_memory() -> None:
    run_with_forms(
        ReplyForm(name="extension", start=CHUNKED + b"5;x=", part=b"0123456789")
    )


def test_many_small_heads_that_do_not_end_stay_within_the_memory() -> None:
    async def use(gateway: RealGateway) -> None:
        form = ReplyForm(name="heads", start=OK, part=b"a:\r\n", repeats=15_000)
        await call_servers(gateway, form, shards=10, requests_per_caller=2)

    run_with_limited_memory(use)


def test_many_small_bodies_that_do_not_end_stay_within_the_memory() -> None:
    async def use(gateway: RealGateway) -> None:
        form = ReplyForm(name="bodies", start=CHUNKED, part=TINY_CHUNK, repeats=30_000)
        await call_servers(gateway, form, shards=10, requests_per_caller=2)

    run_with_limited_memory(use)


def test_many_large_replies_that_are_complete_stay_within_the_memory() -> None:
    async def use(gateway: RealGateway) -> None:
        start = SIGNED + b"Content-Length: %d\r\n\r\n" % (4 * MEGABYTE)
        form = ReplyForm(name="large", start=start, part=LARGE, repeats=64)
        await call_servers(gateway, form, shards=10, requests_per_caller=1)

    run_with_limited_memory(use)


def test_complete_replies_are_not_kept_after_their_request() -> None:
    async def use(gateway: RealGateway) -> None:
        start = SIGNED + b"Content-Length: %d\r\n\r\n" % (MEGABYTE // 2)
        form = ReplyForm(name="kept", start=start, part=LARGE, repeats=8)
        await call_servers(gateway, form, shards=10, callers=1, requests_per_caller=40)

    run_with_limited_memory(use)


def test_store_that_sends_without_end_stays_within_the_memory() -> None:
    async def use(gateway: RealGateway) -> None:
        form = ReplyForm(name="store", start=CHUNKED, part=LARGE_CHUNK)
        server = SendingServer(form=form)
        await server.listen()
        text = gateway.place.text
        field = "platform.address="
        (line,) = [item for item in text.splitlines() if item.startswith(field)]
        other = f"{field}{LOOPBACK}:{server.port}"
        gateway.place.settings.write_text(text.replace(line, other))
        await server.wait_for_replies(12)
        gateway.place.settings.write_text(text)
        await server.close()

    run_with_limited_memory(use)


def test_peer_that_sends_without_end_stays_within_the_memory() -> None:
    async def use(gateway: RealGateway) -> None:
        form = ReplyForm(name="peer", start=CHUNKED, part=LARGE_CHUNK)
        server = SendingServer(form=form)
        await server.listen()
        record = {
            "failure_domain": "zone-b",
            "host": LOOPBACK,
            "port": server.port,
            "processor_cores": 1.0,
        }
        gateway.store.put("instances/g-2", record)
        await call_servers(gateway, form, shards=4, domain="zone-b")
        assert server.begun
        await server.close()

    run_with_limited_memory(use)
