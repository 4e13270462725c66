"""Tests of the log of decisions: its volume, and outputs that do not take it."""

from bronzebeam.telemetry.decisions import (
    BUFFER_MAX_BYTES,
    GOOD_LINES_BURST,
    DecisionLog,
)
from tests.fixtures_gateway import (
    READ_PATH,
    Cluster,
    run_scenario,
    start_small_cluster,
)
from tests.standin_replica import Fault, fault_always


class Output:
    """Takes at most `room` bytes, then blocks."""

    def __init__(self, room: float = float("inf")) -> None:
        self.room = room
        self.text = b""

    def __call__(self, data: bytes) -> int:
        if self.room <= 0:
            raise BlockingIOError
        taken = data[: int(min(len(data), self.room))]
        self.room -= len(taken)
        self.text += taken
        return len(taken)

    @property
    def lines(self) -> list[str]:
        return self.text.decode().splitlines()


def new_log(output: Output) -> DecisionLog:
    return DecisionLog(instance="g-1", write=output)


def test_line_holds_its_pairs_in_one_line() -> None:
    output = Output()
    log = new_log(output)
    log.event("thing_changed", name="a b", count=3, cause="two\nlines", none=None)
    log.flush()
    [line] = output.lines
    assert 'event=thing_changed name="a b" count=3' in line
    assert 'cause="two\\nlines" none=null instance=g-1' in line


def test_good_requests_leave_room_for_failed_ones_and_are_counted() -> None:
    output = Output()
    log = new_log(output)
    for _ in range(1_000):
        log.request("request_ended", good=True)
    for number in range(50):
        log.request("request_ended", good=False, request=f"bad-{number}")
    log.flush()
    bad = [line for line in output.lines if "bad-" in line]
    assert len(bad) == 50
    good = [line for line in output.lines if "request_ended" in line]
    assert len(good) - 50 <= GOOD_LINES_BURST + 1
    [counted] = [line for line in output.lines if "log_lines_left_out" in line]
    assert f"count={1_000 - (len(good) - 50)}" in counted


def test_blocked_output_bounds_the_memory_and_loses_no_count() -> None:
    output = Output(room=0)
    log = new_log(output)
    for number in range(50_000):
        log.event("state_changed", number=number)
        if number % 100 == 0:
            log.flush()
    assert log._bytes <= BUFFER_MAX_BYTES + 200
    output.room = float("inf")
    log.flush()
    kept = [line for line in output.lines if "state_changed" in line]
    [counted] = [line for line in output.lines if "log_lines_left_out" in line]
    assert len(kept) + int(counted.split("count=")[1].split()[0]) == 50_000


def test_partial_writes_break_no_line() -> None:
    output = Output(room=37)
    log = new_log(output)
    for number in range(20):
        log.event("state_changed", number=number)
    while len(output.lines) < 20 or not output.text.endswith(b"\n"):
        log.flush()
        output.room += 37
    assert [line.split("number=")[1].split()[0] for line in output.lines] == [
        str(number) for number in range(20)
    ]


def test_output_that_has_ended_stops_nothing() -> None:
    def broken(data: bytes) -> int:
        raise BrokenPipeError

    log = DecisionLog(instance="g-1", write=broken)
    for _ in range(3):
        log.event("state_changed")
        log.flush()
    assert log.left_out_lines >= 3


def test_blocked_output_neither_stops_nor_slows_the_gateway() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        gateway.gateway.log.write = Output(room=0)
        for replica in cluster.replicas.values():
            replica.fault = fault_always(Fault.SHED)
        for _ in range(2_000):
            answer = await cluster.send_request(gateway, READ_PATH)
            assert answer is not None and answer.status == 503
            assert answer.elapsed_seconds < 0.02
        for replica in cluster.replicas.values():
            replica.fault = fault_always(Fault.NONE)
        answer = await cluster.send_request(gateway, READ_PATH)
        assert answer is not None and answer.status == 200
        assert gateway.gateway.log._bytes <= BUFFER_MAX_BYTES + 500

    run_scenario(scenario)
