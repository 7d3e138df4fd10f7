"""What the front's log tells of memory and of connections that it closed."""

from collections import Counter

from crossing import two
from helpers import get_text

from sprucegate.front import process_memory
from sprucegate.front.limited_log import LimitedLog

CLOSES = 20


def test_lines_above_the_limit_of_a_second_are_counted_and_not_written():
    written, left_out = [], []
    log = LimitedLog(lambda event, **_: written.append(event), 2, lambda: left_out.append(1))
    for event in "abc":
        log(event)
    log.start_second()
    log("d")
    assert written == ["a", "b", "d"] and len(left_out) == 1


def test_memory_is_unknown_where_the_system_does_not_tell(monkeypatch, tmp_path):
    usage = process_memory.memory_usage()
    assert 0 < usage.resident <= usage.peak
    monkeypatch.setattr(process_memory, "STATUS_FILE", tmp_path / "none")
    assert process_memory.memory_usage() == (0, 0)


def test_closed_connections_are_logged_with_reason_and_state_and_a_rejection_by_its_status(tmp_path):
    front, _, _ = two(tmp_path, limits={"cores": 1.0, "memory_mb": 32, "sockets": 64})
    with front:
        assert front.ask(get_text(call_id="x"))[0] == 400
        crowd = [front.connect() for _ in range(32 + CLOSES)]
        lines = []
        while sum(line.get("clients_closed made_room", 0) for line in lines) < CLOSES:
            lines.append(front.log.get(timeout=10))
        closed = [line for line in lines if line["event"] == "client_closed"]
        assert {(line["why"], line["state"]) for line in closed} == {("made_room", "half_closed")}
        assert len({line["connection"] for line in closed}) == len(closed)
        counted = Counter()
        for line in lines:
            counted.update({name: value for name, value in line.items() if isinstance(value, int)})
        assert len(closed) + counted["client_closed_left_out"] >= CLOSES and counted["bad_requests 400"] == 1
        assert lines[-1]["memory_mb"] > 0 and lines[-1]["memory_peak_mb"] >= lines[-1]["memory_mb"]
        for sock in crowd:
            sock.close()
