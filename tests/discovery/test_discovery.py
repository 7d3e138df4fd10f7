"""The merged view of several sources, the safety gate, and parsing and complete reads of lists."""

import hashlib
import os

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from sprucegate.config.source_locations import OperatorFileError
from sprucegate.discovery import list_format, list_reader
from sprucegate.discovery.list_format import parse, render
from sprucegate.discovery.list_reader import FileIncompleteError, read
from sprucegate.discovery.merged_view import Server, Standing, View
from sprucegate.discovery.safety_gate import SafetyGate
from sprucegate.routing.events import Endpoint, EndpointState
from sprucegate.upstream.hosts import endpoint_id

S = 1_000_000_000
NOW = 1000 * S
LOCATIONS, KINDS = {"east": 0, "west": 1}, {"std": 0, "parent": 1}
SERVING, DRAINING, GONE = EndpointState.SERVING, EndpointState.DRAINING, EndpointState.GONE


def server(name, state=SERVING, weight=1.0, started=0, address="", location=0, held=False):
    return Server(
        Endpoint(endpoint_id(name), location, 0, 0, state, weight, started),
        name,
        address or f"127.0.0.1:{4000 + endpoint_id(name) % 1000}",
        held,
    )


def view(**more):
    merged = View(("file", "bus"), **more)
    merged.update("bus", [server("s-1"), server("s-2")], True, NOW)
    return merged


def states(change):
    return change and [(s.name, s.entry.state) for s in change.servers]


def standing_of(merged, name):
    return merged.rows[endpoint_id(name)].standing if endpoint_id(name) in merged.rows else Standing.GONE


def test_lists_of_the_bus_alone_are_passed_on():
    merged = View(("file", "bus"))
    assert states(merged.update("bus", [server("s-1"), server("s-2", DRAINING)], True, NOW)) == [
        ("s-2", DRAINING),
        ("s-1", SERVING),
    ]
    assert merged.update("bus", [server("s-1")], False, NOW) is None and merged.generation == 1
    assert states(merged.update("bus", [server("s-1", GONE)], False, NOW)) == [("s-1", GONE)]
    assert states(merged.update("bus", [server("s-3")], True, NOW)) == [("s-2", GONE), ("s-3", SERVING)]


@pytest.mark.parametrize("first, second", [("file", "bus"), ("bus", "file")])
def test_a_drain_of_one_source_is_not_lifted_by_the_other(first, second):
    merged = view()
    merged.update(first, [server("s-1", DRAINING)], first == "file", NOW)
    assert standing_of(merged, "s-1") is Standing.DRAINING
    assert merged.update(second, [server("s-1")], False, NOW + S) is None
    assert (
        standing_of(merged, "s-1") is Standing.DRAINING
        and f"by {first}" in merged.rows[endpoint_id("s-1")].why
    )
    merged.update(first, [server("s-1", GONE)], False, NOW + S)  # the other source lists it again
    merged.update(second, [server("s-1")], False, NOW + 2 * S)
    assert standing_of(merged, "s-1") is Standing.DRAINING
    assert states(merged.update(first, [server("s-1")], False, NOW + 3 * S)) == [("s-1", SERVING)]


def test_a_drain_does_not_hold_for_a_later_start_or_a_new_id_at_the_address():
    merged = view()
    merged.update("bus", [server("s-1", DRAINING)], False, NOW)
    assert states(merged.update("file", [server("s-1", started=NOW)], True, NOW)) == [("s-1", SERVING)]
    merged.update("bus", [server("s-2", DRAINING, address="127.0.0.1:9")], False, NOW)
    # A new endpoint id at the same address.
    merged.update("file", [server("s-9", address="127.0.0.1:9")], True, NOW)
    assert standing_of(merged, "s-9") is Standing.SERVING and standing_of(merged, "s-2") is Standing.DRAINING


def test_a_server_is_removed_when_no_source_lists_it_and_sources_have_precedence():
    merged = view()
    merged.update("file", [server("s-1", weight=3.0), server("s-3")], True, NOW)
    assert merged.rows[endpoint_id("s-1")].server.entry.weight == 3.0
    assert states(merged.update("file", [server("s-1", weight=3.0)], True, NOW)) == [("s-3", GONE)]
    merged.update("bus", [server("s-1", weight=7.0)], False, NOW)
    assert merged.rows[endpoint_id("s-1")].server.entry.weight == 3.0
    change = merged.update("file", [server("s-2")], True, NOW)
    assert [(s.name, s.entry.weight) for s in change.servers] == [("s-1", 7.0)]  # the bus still lists it


def test_a_held_server_is_not_routed_to_and_an_unchanged_standing_keeps_its_time():
    merged = view()
    assert states(merged.update("file", [server("s-5", held=True), server("s-2", held=True)], True, NOW)) == [
        ("s-2", GONE)
    ]
    assert standing_of(merged, "s-5") is Standing.HELD
    assert states(merged.update("file", [server("s-5")], True, NOW + S)) == [
        ("s-2", SERVING),
        ("s-5", SERVING),
    ]
    merged.update("file", [server("s-5", weight=2.0)], True, NOW + 2 * S)
    assert merged.rows[endpoint_id("s-5")].since == NOW + S


def test_the_weight_of_a_returning_server_is_ramped_and_that_of_a_new_one_is_not():
    merged = view(ramp=10 * S)
    merged.update("file", [server("s-1", weight=2.0), server("s-2", DRAINING)], True, NOW)
    assert (
        merged.update("file", [server("s-1", weight=2.0), server("s-2")], True, NOW).servers[0].entry.weight
        == 0.1
    )
    assert merged.next_ramp_step_at() == NOW + S
    weights = []
    for step in range(1, 12):
        change = merged.advance_ramps(NOW + step * S)
        weights += [s.entry.weight for s in change.servers] if change else []
    assert (
        weights == pytest.approx([0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0])
        and merged.next_ramp_step_at() is None
    )


def test_drains_are_restored_after_a_restart():
    merged, restored = view(), View(("file", "bus"))
    merged.update("bus", [server("s-1", DRAINING)], False, NOW)
    restored.restore(merged.dump(lambda at: at + S), lambda stamp: stamp - S)
    restored.update("file", [server("s-1")], True, NOW)
    assert standing_of(restored, "s-1") is Standing.DRAINING and restored.generation > merged.generation


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["file", "bus"]),
        st.booleans(),
        st.lists(
            st.tuples(
                st.sampled_from(["s-1", "s-2", "s-3"]),
                st.sampled_from([SERVING, DRAINING, GONE]),
                st.integers(0, 1),
            ),
            max_size=3,
            unique_by=lambda one: one[0],
        ),
    ),
    max_size=12,
)


@profile(max_examples=400, deadline=None, derandomize=True)
@given(EVENTS)
def test_changes_add_up_to_the_view_and_no_drain_is_lifted_by_another_source(events):
    merged, routed, drains = View(("file", "bus")), {}, {}
    for at, (source, whole, listed) in enumerate(events):
        change = merged.update(
            source, [server(n, state, started=start) for n, state, start in listed], whole, NOW + at
        )
        for name, state, start in listed:
            remaining = {d for d in drains.get(name, set()) if state is GONE or start <= d[1]}
            if state is DRAINING and source not in {d[0] for d in remaining}:
                remaining.add((source, start))
            drains[name] = {d for d in remaining if state is not SERVING or d[0] != source}
        for one in change.servers if change else []:
            if one.entry.state is GONE:
                del routed[one.name]
            else:
                routed[one.name] = one.entry.state
        assert routed == {
            row.server.name: DRAINING if row.standing is Standing.DRAINING else SERVING
            for row in merged.rows.values()
        }
        for name, state in routed.items():
            assert (state is DRAINING) is bool(drains[name])


def test_a_list_that_removes_too_many_servers_is_held_but_its_drains_are_not():
    gate = SafetyGate(0.5, 60 * S)
    current = {s.entry.id: s for s in [server(f"s-{n}", location=n % 2) for n in range(8)]}
    remaining = [server("s-0", DRAINING), *[server(f"s-{n}", location=1) for n in (1, 3, 5, 7)]]
    decision = gate.offer(current, remaining, NOW)
    assert [s.name for s in decision.servers] == ["s-0"] and not decision.whole
    assert (decision.held.location, decision.held.share) == (0, 0.75)
    assert gate.confirm(decision.held.number + 1) is None and gate.on_timer(NOW + 59 * S) is None
    assert gate.confirm(decision.held.number).servers == remaining and gate.held is None
    gate.offer(current, remaining, NOW)
    assert gate.on_timer(NOW + 60 * S).whole
    gate.offer(current, remaining, NOW)
    assert gate.offer(current, list(current.values()), NOW).whole and gate.on_timer(NOW + 999 * S) is None


def test_any_removal_is_held_if_another_front_holds_the_same_list():
    gate, current = (
        SafetyGate(0.5, 60 * S),
        {s.entry.id: s for s in [server(f"s-{n}", location=0) for n in range(8)]},
    )
    fewer = list(current.values())[:6]
    assert gate.offer(current, fewer, NOW, held=True).held.share == 0.25
    assert gate.offer(current, fewer, NOW).whole
    assert gate.offer(current, list(current.values()), NOW, held=True).whole  # nothing is removed here


GOOD = render(
    [server("s-1"), server("s-2", DRAINING, 2.5, 5_000_000, location=1), server("s-3", held=True)],
    LOCATIONS,
    KINDS,
)


def test_a_rendered_list_parses_to_the_same_servers():
    found = parse([("f", GOOD)], LOCATIONS, KINDS)
    assert render(found, LOCATIONS, KINDS) == GOOD and [s.name for s in found] == ["s-1", "s-2", "s-3"]


@pytest.mark.parametrize("cut", range(len(GOOD) - 2))
def test_a_list_truncated_at_any_byte_is_rejected(cut):
    with pytest.raises(OperatorFileError):
        parse([("f", GOOD[:cut])], LOCATIONS, KINDS)


@pytest.mark.parametrize(
    "old, new, line, key",
    [
        ('"s-2"', '"s-1"', 3, "server"),
        ('address="127.0.0.1:4002"', 'address="127.0.0.1:4001"', 3, "address"),
        ('location="west"', 'location="north"', 3, "location"),
        ('kind="std" cell=0 weight=2.5', 'kind="x"', 3, "kind"),
        ("weight=2.5", "weight=-1", 3, "weight"),
        ("weight=2.5", 'weight="2"', 3, "weight"),
        ("weight=2.5", "weight=#nan", 3, "weight"),
        ("weight=2.5", "weight=#inf", 3, "weight"),
        ("weight=2.5", "wait=1", 3, ""),
        ("weight=2.5", "weight=(kg)1", 3, "weight"),
        ("started=5", "cold=#true", 3, "started"),
        ('state="draining"', 'state="drain"', 3, "state"),
        ("started=5", "started=-5", 3, "started"),
        ('"127.0.0.1:4002"', '"127.0.0.1"', 3, "address"),
        ('"127.0.0.1:4002"', '"127.0.0.1:99999"', 3, "address"),
        ('    server "s-2"', '    box "s-2"', 3, "box"),
        ('    server "s-2"', '    "box: b" "s-2"', 3, "box"),
        ('    server "s-2"', '    server "x" "s-2"', 3, "server"),
    ],
)
def test_an_invalid_entry_is_reported_with_line_and_key(old, new, line, key):
    assert old in GOOD
    with pytest.raises(OperatorFileError) as caught:
        parse([("f.kdl", GOOD.replace(old, new, 1))], LOCATIONS, KINDS)
    assert (caught.value.file, caught.value.line, caught.value.key) == ("f.kdl", line, key)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "servers {\n}\n",
        "servers { }\nservers { }\n",
        "box\n",
        GOOD.replace("weight=1.0", "weight=0").replace("weight=2.5", "weight=0"),
    ],
)
def test_a_list_without_servers_or_without_weight_is_rejected(text):
    with pytest.raises(OperatorFileError):
        parse([("f", text)], LOCATIONS, KINDS)


def test_more_entries_than_the_limit_are_rejected(monkeypatch):
    monkeypatch.setattr(list_format, "ENTRIES_MAX", 2)
    with pytest.raises(OperatorFileError, match="more than 2"):
        parse([("f", GOOD)], LOCATIONS, KINDS)


def test_a_file_is_complete_by_its_digest_or_by_two_equal_reads(tmp_path, monkeypatch):
    path = tmp_path / "list.kdl"
    path.write_text(GOOD)
    first = read(str(path))
    assert first.texts[0][1] == GOOD and first.digest == hashlib.sha256(GOOD.encode()).hexdigest()
    (tmp_path / "list.kdl.sha256").write_text("0" * 64 + "  list.kdl\n")
    with pytest.raises(FileIncompleteError):
        read(str(path))
    (tmp_path / "list.kdl.sha256").write_text(first.digest + "  list.kdl\n")
    assert read(str(path), settle=60) == first  # the digest shows that it is complete, so there is no wait
    (tmp_path / "list.kdl.sha256").unlink()
    monkeypatch.setattr(list_reader.time, "sleep", lambda _: path.write_text(GOOD + "\n"))
    with pytest.raises(FileIncompleteError):
        read(str(path))


def test_a_missing_unreadable_or_too_large_file_is_rejected(tmp_path, monkeypatch):
    with pytest.raises(FileIncompleteError):
        read(str(tmp_path / "none"))
    path = tmp_path / "list.kdl"
    path.write_bytes(b"\xff\n")
    with pytest.raises(OperatorFileError, match="UTF-8"):
        read(str(path))
    monkeypatch.setattr(list_reader, "LIST_BYTES_MAX", 1)
    with pytest.raises(OperatorFileError, match="larger"):
        read(str(path))
    monkeypatch.setattr(
        list_reader, "open", lambda *_: (_ for _ in ()).throw(PermissionError(13, "denied")), raising=False
    )
    with pytest.raises(OperatorFileError, match="denied"):
        read(str(path))


def folder(path, parts):
    path.mkdir()
    for name, text in parts.items():
        (path / name).write_text(text)
    (path / "manifest.kdl").write_text(
        "".join(
            f'part "{name}" sha256="{hashlib.sha256(text.encode()).hexdigest()}"\n'
            for name, text in parts.items()
        )
    )


def test_a_folder_is_complete_if_its_parts_match_the_manifest(tmp_path):
    one, two = (render([server(n)], LOCATIONS, KINDS) for n in ("s-1", "s-2"))
    folder(tmp_path / "list", {"a.kdl": one, "b.kdl": two})
    found = read(str(tmp_path / "list"))
    assert [s.name for s in parse(found.texts, LOCATIONS, KINDS)] == ["s-1", "s-2"]
    (tmp_path / "list" / "b.kdl").write_text(render([server("s-3")], LOCATIONS, KINDS))
    with pytest.raises(FileIncompleteError, match="b.kdl"):
        read(str(tmp_path / "list"))
    folder(tmp_path / "next", {"a.kdl": two})
    os.rename(tmp_path / "list", tmp_path / "old")
    os.rename(tmp_path / "next", tmp_path / "list")
    assert len(read(str(tmp_path / "list")).texts) == 1
    (tmp_path / "list" / "manifest.kdl").write_text('part "../old/a.kdl" sha256="x"\n')
    with pytest.raises(OperatorFileError):
        read(str(tmp_path / "list"))


def test_a_server_in_two_parts_is_rejected(tmp_path):
    one = render([server("s-1")], LOCATIONS, KINDS)
    with pytest.raises(OperatorFileError, match="already used by entry 1 of a"):
        parse([("a", one), ("b", one)], LOCATIONS, KINDS)
