"""Tests of single requests at the limits of a process with little memory."""

from tests.fixtures_crowd import (
    BODY_MAX_BYTES,
    CHUNKED_HEAD,
    GET_HEAD,
    HEAD,
    HEADER_MAX_BYTES,
    Measurement,
    chunk,
    run_lowered,
    send_alone,
)
from tests.test_gateway_process import RealGateway


def check_single_request(name: str, text: str, body: bytes) -> None:
    """Check that a request sent alone reaches the replica unchanged."""

    async def use(gateway: RealGateway, measured: Measurement) -> list[str]:
        status, line = await send_alone(gateway, text.encode())
        if status != 200:
            return [f"the request got {line!r}"]
        if gateway.replica.runs[-1].body != body:
            return ["the replica got another body"]
        return []

    run_lowered(use, name=name)


def test_body_just_under_the_limit_is_served() -> None:
    body = "x" * (BODY_MAX_BYTES - 1)
    text = f"{HEAD}Content-Length: {len(body)}\r\n\r\n{body}"
    check_single_request("single_body", text, body.encode())


def test_body_just_under_the_limit_in_chunks_of_one_byte_is_served() -> None:
    count = BODY_MAX_BYTES - 1
    text = f"{CHUNKED_HEAD}{chunk(1) * count}0\r\n\r\n"
    check_single_request("single_chunks_of_one", text, b"x" * count)


def test_body_just_under_the_limit_in_chunks_of_two_bytes_is_served() -> None:
    count = BODY_MAX_BYTES // 2 - 1
    text = f"{CHUNKED_HEAD}{chunk(2) * count}0\r\n\r\n"
    check_single_request("single_chunks_of_two", text, b"xx" * count)


def test_head_just_under_the_limit_is_served() -> None:
    start = f"{GET_HEAD}X-Large: "
    value = "a" * (HEADER_MAX_BYTES - len(start) - len("\r\n\r\n") - 1)
    check_single_request("single_head", f"{start}{value}\r\n\r\n", b"")


def test_head_of_small_headers_just_under_the_limit_is_served() -> None:
    count = (HEADER_MAX_BYTES - len(GET_HEAD) - len("\r\n") - 1) // len("a: b\r\n")
    text = GET_HEAD + "a: b\r\n" * count + "\r\n"
    check_single_request("single_small_headers", text, b"")
