"""Tests of the decision log: rate limits, and outputs that block or are closed."""

from bronzebeam.telemetry.decisions import (
    MAX_BUFFER_BYTES,
    SUCCESS_LINES_BURST,
    DecisionLog,
)
from tests.fixtures_gateway import (
    READ_PATH,
    Cluster,
    run_scenario,
    start_small_cluster,
)
from tests.standin_replica import Fault, fault_always


class LimitedOutput:
    """An output that accepts at most `capacity_bytes`, then blocks."""

    def __init__(self, capacity_bytes: float = float("inf")) -> None:
        self.capacity_bytes = capacity_bytes
        self.text = b""

    def __call__(self, data: bytes) -> int:
        if self.capacity_bytes <= 0:
            raise BlockingIOError
        accepted = data[: int(min(len(data), self.capacity_bytes))]
        self.capacity_bytes -= len(accepted)
        self.text += accepted
        return len(accepted)

    @property
    def lines(self) -> list[str]:
        return self.text.decode().splitlines()


def new_log(output: LimitedOutput) -> DecisionLog:
    return DecisionLog(instance="g-1", write=output)


def test_event_is_logged_as_one_line_of_pairs() -> None:
    output = LimitedOutput()
    log = new_log(output)
    log.event("thing_changed", name="a b", count=3, cause="two\nlines", none=None)
    log.flush()
    [line] = output.lines
    assert 'event=thing_changed name="a b" count=3' in line
    assert 'cause="two\\nlines" none=null instance=g-1' in line


def test_failed_requests_are_logged_in_full_beside_many_successful_ones() -> None:
    output = LimitedOutput()
    log = new_log(output)
    for _ in range(1_000):
        log.request("request_ended", good=True)
    for number in range(50):
        log.request("request_ended", good=False, request=f"bad-{number}")
    log.flush()
    bad = [line for line in output.lines if "bad-" in line]
    assert len(bad) == 50
    good = [line for line in output.lines if "request_ended" in line]
    assert len(good) - 50 <= SUCCESS_LINES_BURST + 1
    [dropped] = [line for line in output.lines if "log_lines_left_out" in line]
    assert f"count={1_000 - (len(good) - 50)}" in dropped


def test_blocked_output_limits_memory_and_dropped_lines_are_counted() -> None:
    output = LimitedOutput(capacity_bytes=0)
    log = new_log(output)
    for number in range(50_000):
        log.event("state_changed", number=number)
        if number % 100 == 0:
            log.flush()
    assert log._buffered_bytes <= MAX_BUFFER_BYTES + 200
    output.capacity_bytes = float("inf")
    log.flush()
    logged = [line for line in output.lines if "state_changed" in line]
    [dropped] = [line for line in output.lines if "log_lines_left_out" in line]
    assert len(logged) + int(dropped.split("count=")[1].split()[0]) == 50_000


def test_partial_writes_keep_lines_intact() -> None:
    output = LimitedOutput(capacity_bytes=37)
    log = new_log(output)
    for number in range(20):
        log.event("state_changed", number=number)
    while len(output.lines) < 20 or not output.text.endswith(b"\n"):
        log.flush()
        output.capacity_bytes += 37
    assert [line.split("number=")[1].split()[0] for line in output.lines] == [
        str(number) for number in range(20)
    ]


def test_closed_output_raises_no_error() -> None:
    def broken(data: bytes) -> int:
        raise BrokenPipeError

    log = DecisionLog(instance="g-1", write=broken)
    for _ in range(3):
        log.event("state_changed")
        log.flush()
    assert log.dropped_line_count >= 3


def test_blocked_output_does_not_delay_requests() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        gateway.gateway.log.write = LimitedOutput(capacity_bytes=0)
        for replica in cluster.replicas.values():
            replica.fault = fault_always(Fault.SHED)
        for _ in range(2_000):
            response = await cluster.send_request(gateway, READ_PATH)
            assert response is not None and response.status == 503
            assert response.elapsed_seconds < 0.02
        for replica in cluster.replicas.values():
            replica.fault = fault_always(Fault.NONE)
        response = await cluster.send_request(gateway, READ_PATH)
        assert response is not None and response.status == 200
        assert gateway.gateway.log._buffered_bytes <= MAX_BUFFER_BYTES + 500

    run_scenario(scenario)
