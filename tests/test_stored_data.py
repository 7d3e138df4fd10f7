"""Stored data and frames of an older build are read to the values they stand for, and written to the same bytes.

The golden files were written by commit 8d2589c. A test of this module that fails means that this code can't read what
a running fleet has on its disks, or that two builds in one fleet don't understand each other. See stored_data.py.
"""

import json
import shutil

import msgspec
import pytest
from stored_data import (
    AGREED,
    AGREED_KINDS,
    COMMAND_NAMES,
    COMMANDS,
    FIELDS,
    FOLDERS,
    FRAME_KINDS,
    FRAMES,
    GOLDEN,
    MONOTONIC,
    PLACES,
    SHARES,
    SHARES_KINDS,
    TENANTS,
    UNIX_TIME,
    Machine,
    S,
    applied,
    decoded_agreed,
    decoded_frame,
    decoded_shares,
    encoded_agreed,
    encoded_frame,
    encoded_shares,
    fault_of_command,
    fields_of_code,
    files,
    kinds_of_code,
    payloads_of,
    payloads_of_file,
    read_replica_folder,
    read_servers_folder,
    read_voter_folder,
    voter_after,
)

# What the machine answers to each entry, the log's own first: [the word, ids of the permits that it grants].
ANSWERS = [
    ["", []],
    ["done", []],
    ["done", []],
    ["done", []],
    ["done", []],
    ["done", []],
    ["done", []],
    ["asked", ["p1"]],
    ["granted", []],
    ["done", []],
    ["not drained", []],
    ["done", []],
    ["out", []],
    ["done", []],
    ["done", []],
    ["cold", []],
    ["done", []],
    ["done", []],
    ["asked", ["p2"]],
    ["withdrawn", []],
    ["asked", ["p3"]],
    ["given up", []],
    ["asked", ["p4"]],
    ["done", []],
    ["done", []],
    ["out", []],
    ["cold", []],
    ["done", []],
    ["asked", ["p5"]],
    ["done", []],
    ["done", []],
    ["out", []],
    ["done", []],
    ["asked", ["p6"]],
    ["done", []],
    ["done", []],
    ["asked", ["p7"]],
    ["done", []],
    ["asked", []],
    ["no such box", []],
    ["done", []],
    ["done", []],
    ["done", []],
    ["started", ["r-first/0/parent-2"]],
    ["done", []],
    ["done", []],
    ["out", []],
    ["cold", []],
    ["done", []],
    ["done", []],
    ["done", []],
    ["started", ["r-edge/0/south-1"]],
    ["done", []],
    ["done", []],
    ["out", []],
    ["cold", []],
    ["done", []],
    ["done", []],
    ["done", ["r-edge/0/south-2", "r-edge/0/south-3"]],
    ["halted", []],
    ["halted", []],
    ["resumed", ["r-edge/1/south-2", "r-edge/1/south-3"]],
    ["goes back", ["r-edge/2/south-1"]],
    ["done", []],
    ["done", []],
    ["out", []],
    ["cold", []],
    ["done", []],
    ["done", []],
    ["started", ["r-again/0/south-2"]],
    ["done", []],
    ["done", []],
    ["out", []],
    ["cold", []],
    ["done", []],
    ["done", []],
    ["goes back", ["r-again/1/south-2"]],
    ["started", ["r-front/0/front-c"]],
    ["halted", []],
    ["started", ["r-parent/0/parent-1"]],
    ["done", []],
    ["done", []],
    ["out", []],
    ["cold", []],
    ["done", []],
    ["done", []],
    ["done", ["r-parent/0/parent-2"]],
    ["done", []],
    ["done", []],
    ["done", []],
    ["done", []],
    ["done", []],
    ["done", []],
    ["done", []],
    ["back", []],
    ["withdrawn", []],
    ["given_up", []],
    ["cold", []],
    ["out", []],
    ["drained", []],
    ["granted", []],
    ["asked", []],
    ["asked", []],
    ["newer is not known here", []],
]
BUDGETS = [
    ["fleet", "", "front", 8, 1000],
    ["location", "north", "cache", 3, 700],
    ["kind", "parent", "", 3, 900],
    ["group", "", "cache", 6, 1000],
]
BOXES = [
    ["north-1", "cache", "north", "edge", "one", 100],
    ["north-2", "cache", "north", "edge", "one", 100],
    ["north-4", "cache", "north", "edge", "two", 100],
    ["north-5", "cache", "north", "edge", "two", 100],
    ["north-6", "cache", "north", "edge", "two", 100],
    ["south-1", "cache", "south", "edge", "three", 50],
    ["south-2", "cache", "south", "edge", "three", 100],
    ["south-3", "cache", "south", "edge", "three", 150],
    ["south-4", "cache", "south", "edge", "three", 200],
    ["parent-1", "cache", "hub", "parent", "two", 400],
    ["parent-2", "cache", "hub", "parent", "two", 400],
    ["parent-3", "cache", "hub", "parent", "two", 400],
    ["parent-4", "cache", "hub", "parent", "two", 400],
    ["front-a", "front", "north", "front", "", 1],
    ["front-b", "front", "north", "front", "", 1],
    ["front-c", "front", "north", "front", "", 1],
]
# id, box, by, why, release, version, step, index, drained, warm, start, holder, renewed, overdue
PERMITS = [
    [
        "p1",
        "north-1",
        "an operator",
        "a new kernel",
        "",
        "",
        5,
        8,
        ["front-a", "front-b"],
        ["front-a", "front-b"],
        "start-1",
        "agent-1",
        1,
        True,
    ],
    ["p2", "north-2", "an operator", "a disk", "", "", 6, 19, [], [], "", "", 0, False],
    ["p3", "north-3", "an operator", "a disk", "", "", 7, 21, [], [], "", "", 0, False],
    [
        "p4",
        "north-4",
        "an operator",
        "a disk",
        "",
        "",
        4,
        23,
        ["front-a", "front-b"],
        ["front-a"],
        "start-4",
        "agent-4",
        0,
        False,
    ],
    [
        "p5",
        "north-5",
        "an operator",
        "a disk",
        "",
        "",
        3,
        29,
        ["front-a", "front-b"],
        [],
        "",
        "agent-5",
        0,
        True,
    ],
    ["p6", "north-6", "an operator", "a disk", "", "", 2, 34, ["front-a", "front-b"], [], "", "", 0, False],
    ["p7", "south-4", "an operator", "a disk", "", "", 1, 37, ["front-a"], [], "", "", 0, False],
    ["p8", "north-1", "an operator", "a disk", "", "", 0, 0, [], [], "", "", 0, False],
    [
        "r-first/0/parent-2",
        "parent-2",
        "an operator",
        "release",
        "r-first",
        "1.9",
        5,
        44,
        ["front-a", "front-b"],
        ["front-a", "front-b"],
        "start-f",
        "agent-p",
        0,
        False,
    ],
    [
        "r-edge/0/south-1",
        "south-1",
        "an operator",
        "release",
        "r-edge",
        "2.0",
        5,
        52,
        ["front-a", "front-b"],
        ["front-a", "front-b"],
        "start-s",
        "agent-s",
        0,
        False,
    ],
    [
        "r-edge/0/south-2",
        "south-2",
        "an operator",
        "release",
        "r-edge",
        "2.0",
        6,
        59,
        [],
        [],
        "",
        "",
        0,
        False,
    ],
    [
        "r-edge/0/south-3",
        "south-3",
        "an operator",
        "release",
        "r-edge",
        "2.0",
        6,
        59,
        [],
        [],
        "",
        "",
        0,
        False,
    ],
    [
        "r-edge/1/south-2",
        "south-2",
        "an operator",
        "release",
        "r-edge",
        "2.0",
        6,
        62,
        [],
        [],
        "",
        "",
        0,
        False,
    ],
    [
        "r-edge/1/south-3",
        "south-3",
        "an operator",
        "release",
        "r-edge",
        "2.0",
        6,
        62,
        [],
        [],
        "",
        "",
        0,
        False,
    ],
    [
        "r-edge/2/south-1",
        "south-1",
        "an operator",
        "release",
        "r-edge",
        "1.9",
        5,
        63,
        ["front-a", "front-b"],
        ["front-a", "front-b"],
        "start-t",
        "agent-s",
        0,
        False,
    ],
    [
        "r-again/0/south-2",
        "south-2",
        "an operator",
        "release",
        "r-again",
        "2.1",
        5,
        70,
        ["front-a", "front-b"],
        ["front-a", "front-b"],
        "start-u",
        "agent-s",
        0,
        False,
    ],
    [
        "r-again/1/south-2",
        "south-2",
        "an operator",
        "release",
        "r-again",
        "1.9",
        1,
        77,
        [],
        [],
        "",
        "",
        0,
        False,
    ],
    [
        "r-front/0/front-c",
        "front-c",
        "an operator",
        "release",
        "r-front",
        "2.0",
        6,
        78,
        [],
        [],
        "",
        "",
        0,
        False,
    ],
    [
        "r-parent/0/parent-1",
        "parent-1",
        "an operator",
        "release",
        "r-parent",
        "2.0",
        5,
        80,
        ["front-a", "front-b"],
        ["front-a", "front-b"],
        "start-p",
        "agent-p",
        0,
        False,
    ],
    [
        "r-parent/0/parent-2",
        "parent-2",
        "an operator",
        "release",
        "r-parent",
        "2.0",
        1,
        87,
        [],
        [],
        "",
        "",
        0,
        False,
    ],
    ["p10", "north-2", "an operator", "a disk", "", "", 0, 0, [], [], "", "", 0, False],
]
ENDED = [
    "p1",
    "p2",
    "p3",
    "r-first/0/parent-2",
    "r-edge/0/south-1",
    "r-edge/0/south-2",
    "r-edge/0/south-3",
    "r-edge/1/south-2",
    "r-edge/1/south-3",
    "r-edge/2/south-1",
    "r-again/0/south-2",
    "r-front/0/front-c",
    "r-parent/0/parent-1",
]
# plan, by, phase, wave, why, done, turn, passed, ahead
RELEASES = [
    [
        ["r-first", "parent", "1.9", "1.8", [["parent-2"]], 0],
        "an operator",
        3,
        0,
        "",
        ["parent-2"],
        0,
        False,
        [],
    ],
    [
        ["r-edge", "edge", "2.0", "1.9", [["south-1"], ["south-2", "south-3"]], 60000000000],
        "an operator",
        4,
        1,
        "an operator turned it back",
        [],
        2,
        False,
        [],
    ],
    [
        ["r-again", "edge", "2.1", "1.9", [["south-2"], ["south-3"]], 60000000000],
        "an operator",
        2,
        0,
        "an operator turned it back",
        ["south-2"],
        1,
        False,
        ["south-2"],
    ],
    [
        ["r-front", "front", "2.0", "1.9", [["front-c"]], 60000000000],
        "an operator",
        1,
        0,
        "an operator: not today",
        [],
        0,
        False,
        [],
    ],
    [
        ["r-parent", "parent", "2.0", "1.9", [["parent-1"], ["parent-2"]], 30000000000],
        "an operator",
        0,
        1,
        "",
        ["parent-1"],
        0,
        False,
        [],
    ],
]
HISTORY = [
    [44, "r-first", "started", "an operator"],
    [51, "r-first", "wave 1 passed", ""],
    [51, "r-first", "done", ""],
    [52, "r-edge", "started", "an operator"],
    [59, "r-edge", "wave 1 passed", "0.001 beside 0.001"],
    [60, "r-edge", "halted", "an operator: looks wrong"],
    [62, "r-edge", "resumed", "an operator"],
    [63, "r-edge", "goes back", "an operator"],
    [69, "r-edge", "returned", ""],
    [70, "r-again", "started", "an operator"],
    [77, "r-again", "goes back", "an operator"],
    [78, "r-front", "started", "an operator"],
    [79, "r-front", "halted", "an operator: not today"],
    [80, "r-parent", "started", "an operator"],
    [87, "r-parent", "wave 1 passed", "0.002 beside 0.001"],
]
STATE = [
    1,
    104,
    [
        BUDGETS,
        [200, 3000],
        BOXES,
        {"parent-4": "unreachable"},
        {"front-a": 12884902049, "front-b": 4294967474},
        PERMITS,
        ENDED,
        2,
        {"front-c": 8589934789},
    ],
    [RELEASES, {"origin": "2 of 2 fronts"}, HISTORY],
    {"request-1": "halted", "request-2": "asked"},
]

LIFE_A, LIFE_B, LIFE_C = 12884902049, 4294967474, 8589934787
VOTER_ENTRIES = [
    [105, 1, "data", ["withdraw", "p7"]],
    [106, 3, "nothing", None],
    [107, 3, "config", [["voter-a", "voter-b", "voter-c"], ["voter-d"]]],
    [108, 3, "data", ["halt", "r-parent", "an operator", "enough for today"]],
    [109, 3, "config", [["voter-a", "voter-b", "voter-c", "voter-d"], []]],
]
VOTER_RECORDS = [  # term, vote, from which index on the log is cut (0: it is not), entries
    [1, "voter-a", 105, []],
    [1, "voter-a", 0, [[105, 1, "data", ["withdraw", "p7"]], [106, 1, "data", ["withdraw", "p8"]]]],
    [2, "voter-b", 0, []],
    [3, "", 0, []],
    [3, "voter-c", 106, VOTER_ENTRIES[1:4]],
    [3, "voter-c", 0, VOTER_ENTRIES[4:]],
]
REPLICA_SNAPSHOT = [
    [["purge", "object", 24301], [1750000000000000000], ["front-a", LIFE_A, 1]],
    [["purge", "group", 17], [1750000000000000001], ["front-a", LIFE_A, 2]],
    [["word", 11, 0, "bus", "front-a"], [LIFE_A, 3, 0], ["front-a", LIFE_A, 3]],
    [["word", 12, 1750000000000000000, "file", "front-a"], [LIFE_A, 4, 0], ["front-a", LIFE_A, 4]],
    [["word", 13, 0, "bus", "front-a"], [LIFE_A, 6, 1], ["front-a", LIFE_A, 6]],
    [["held", "0f1e2d"], [0], ["front-a", LIFE_A, 7]],
]
FACTS_OF_B = [
    [["word", 12, 1750000000000000000, "file", "front-b"], [LIFE_B, 1, 1], ["front-b", LIFE_B, 1]],
    [["word", 13, 0, "bus", "front-b"], [LIFE_B, 2, 2], ["front-b", LIFE_B, 2]],
    [["held", "0f1e2d"], [1], ["front-b", LIFE_B, 3]],
]
LIFTED = [["word", 12, 1750000000000000000, "file", "front-a"], [LIFE_A, 8, 2], ["front-a", LIFE_A, 8]]
LATE_PURGE = [["purge", "object", 65261], [1750000030000000000], ["front-a", LIFE_A, 10]]
FORGOTTEN = [
    ["purge", "object", 24301],
    ["purge", "group", 17],
    ["word", 12, 1750000000000000000, "file", "front-a"],
    ["word", 13, 0, "bus", "front-b"],
]
REPLICA_RECORDS = [  # facts, spans that were seen, keys that are forgotten
    [[LIFTED], [], []],
    [[[["held", "0f1e2d"], [1], ["front-a", LIFE_A, 9]]], [], []],
    [FACTS_OF_B, [], []],
    [[], [["front-b", LIFE_B, 1, 4], ["front-b", LIFE_B, 6, 9], ["front-c", LIFE_C, 2, 5]], []],
    [[LATE_PURGE], [], []],
    [[], [], FORGOTTEN],
]
SERVERS_OF_FILE = [
    [12, 0, 0, 1, "draining", 2.5, 1749999200000000000, "north-2", "192.0.2.12:80", False],
    [11, 0, 0, 0, "serving", 1.0, 1749999100000000000, "north-1", "192.0.2.11:80", False],
    [13, 1, 0, 0, "serving", 0.5, 0, "south-1", "192.0.2.13:80", True],
    [21, 1, 2, 0, "serving", 1.0, 0, "parent-1", "192.0.2.21:80", False],
]
SERVERS = {
    "generation": 4,
    "order": ["file", "bus"],
    "drains": [
        [12, [["file", 1749999880000000000, 1749999200000000000]]],
        [21, [["bus", 1749999940000000000, 0]]],
        [11, [["front-b of bus", 1749999970000000000, 1749999100000000000]]],
        [22, [["front-b of bus", 1749999990000000000, 0]]],
    ],
    "file": [SERVERS_OF_FILE],
    "rows": [
        [
            ["north-2", "192.0.2.12:80", "draining", "drained by file", 1749999880000000000, 2.5],
            ["north-1", "192.0.2.11:80", "draining", "drained by front-b of bus", 1749999970000000000, 1.0],
            ["south-1", "192.0.2.13:80", "held", "held by file", 1749999880000000000, 0.5],
            ["parent-1", "192.0.2.21:80", "draining", "drained by bus", 1749999940000000000, 1.0],
            ["parent-2", "192.0.2.22:80", "draining", "drained by front-b of bus", 1749999990000000000, 1.0],
            ["origin-1", "192.0.2.31:80", "serving", "listed by bus", 1749999940000000000, 1.0],
        ]
    ],
}


def golden(name):
    return (GOLDEN / name).read_bytes()


def bytes_of_files(folder):
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


@pytest.fixture
def copied(tmp_path):
    """A golden folder by its name, copied to where the code may write: a start changes it."""
    return lambda name: shutil.copytree(GOLDEN / name, tmp_path / name)


def snapshot_of(path, kind, generation):
    """The payload of a snapshot whose head is as it has to be."""
    head, payload = payloads_of_file(path)
    assert json.loads(head) == {"kind": kind, "version": 1, "generation": generation, "at": UNIX_TIME}
    assert path.name == f"{kind}-{generation:016d}.snap"
    return payload


# That nothing is missing.


def test_every_file_is_one_of_those_that_are_compared():
    found = {str(path.relative_to(GOLDEN)) for path in GOLDEN.rglob("*") if path.is_file()}
    in_folders = {
        "voter/self",
        "voter/known",
        "voter/agreed-0000000000000002.snap",
        "voter/agreed-0000000000000002.log",
        "replica/start",
        "replica/facts-0000000000000002.snap",
        "replica/facts-0000000000000002.log",
        "servers/servers-0000000000000004.snap",
    }
    assert found == set(files()) | in_folders


def test_every_kind_that_the_code_numbers_has_a_golden_file_under_its_number():
    tables = {"frames": FRAME_KINDS, "agreed": AGREED_KINDS, "shares": SHARES_KINDS}
    assert kinds_of_code() == {name: list(table.values()) for name, table in tables.items()}
    for table in tables.values():
        assert [int(label.split("-")[0]) for label in table] == list(range(1, len(table) + 1))
    assert [len(table) for table in tables.values()] == [17, 13, 4]
    assert list(FRAMES) == [*FRAME_KINDS, "greeting", "question"]
    assert list(AGREED) == list(AGREED_KINDS) and list(SHARES) == list(SHARES_KINDS)


def test_fields_stand_in_the_order_in_which_they_are_sent():
    """Two fields of one type that changed places would be read without a fault, each as the other."""
    assert fields_of_code() == FIELDS
    kinds = [*FRAME_KINDS.values(), *AGREED_KINDS.values(), *SHARES_KINDS.values()]
    assert set(kinds) < set(FIELDS)


def test_every_command_step_and_phase_occurs():
    machine, _ = applied()
    assert {command[0] for command in COMMANDS} == COMMAND_NAMES | {"once", "newer"}
    assert machine.steps() == set(range(8))
    assert machine.phases() == set(range(5))


# Frames between fronts.


@pytest.mark.parametrize("label", FRAMES)
def test_a_frame_is_read_to_its_values_and_written_to_the_same_bytes(label):
    data, fields = golden(f"frames/{label}"), FRAMES[label]
    assert decoded_frame(data, label) == (label, fields, data)
    assert encoded_frame(label, fields) == data


@pytest.mark.parametrize("label", FRAMES)
def test_a_frame_has_the_number_of_its_kind_and_the_fields_in_their_order(label):
    (payload,) = payloads_of(golden(f"frames/{label}"))
    said = msgspec.msgpack.decode(payload)
    if label in FRAME_KINDS:
        number, said = said
        assert number == int(label.split("-")[0])
    assert said == FRAMES[label]


@pytest.mark.parametrize("label", AGREED)
def test_a_word_of_the_agreed_log_is_read_to_its_values_and_written_to_the_same_bytes(label):
    data, fields = golden(f"agreed/{label}"), AGREED[label]
    assert decoded_agreed(data) == ("voter-a", "voter-b", label, fields, data)
    assert encoded_agreed(label, fields) == data


@pytest.mark.parametrize("label", AGREED)
def test_a_word_of_the_agreed_log_has_the_number_of_its_kind(label):
    (payload,) = payloads_of(golden(f"agreed/{label}"))
    kind, (sender, receiver, number, data) = msgspec.msgpack.decode(payload)
    assert (kind, sender, receiver) == (15, "voter-a", "voter-b")
    assert number == int(label.split("-")[0])
    assert msgspec.msgpack.decode(data) == AGREED[label]


@pytest.mark.parametrize("label", SHARES)
def test_a_word_on_shares_is_read_to_its_values_and_written_to_the_same_bytes(label):
    data, fields = golden(f"shares/{label}"), SHARES[label]
    assert decoded_shares(data, TENANTS, PLACES) == ("shares", label, fields, data)
    assert encoded_shares(label, fields) == data


@pytest.mark.parametrize("label", SHARES)
def test_a_word_on_shares_has_the_number_of_its_kind(label):
    (payload,) = payloads_of(golden(f"shares/{label}"))
    kind, (part, data) = msgspec.msgpack.decode(payload)
    assert (kind, part) == (17, "shares")
    assert msgspec.msgpack.decode(data) == [int(label.split("-")[0]), SHARES[label]]


# The machine that the agreed log drives.


def test_commands_of_the_log_are_known_at_the_door():
    commands = msgspec.msgpack.decode(golden("rollout/commands"))
    assert commands == COMMANDS
    refused = {command[0]: fault for command in commands if (fault := fault_of_command(command))}
    assert refused == {"newer": "newer is not known"}


def test_each_command_of_the_log_gets_the_same_answer():
    machine, commands = Machine(), msgspec.msgpack.decode(golden("rollout/commands"))
    answers = [list(machine.apply(index, command)) for index, command in enumerate([None, *commands], 1)]
    for command, answer, wanted in zip([None, *commands], answers, ANSWERS, strict=True):
        assert answer == wanted, command
    assert msgspec.msgpack.encode(answers) == golden("rollout/answers")
    assert machine.state() == STATE
    assert machine.encoded() == golden("rollout/state")


def test_the_state_of_the_machine_is_taken_up_and_told_in_the_same_bytes():
    data = golden("rollout/state")
    assert msgspec.msgpack.decode(data) == STATE
    machine = Machine.of_state(data)
    assert machine.state() == STATE
    assert machine.encoded() == data


# Folders.


@pytest.mark.parametrize("name", FOLDERS)
def test_a_folder_is_written_to_the_same_bytes(name, tmp_path):
    FOLDERS[name](tmp_path)
    assert bytes_of_files(tmp_path) == bytes_of_files(GOLDEN / name)


def test_a_voters_folder_is_read_to_its_values(copied):
    found = read_voter_folder(copied("voter"), "voter-a", UNIX_TIME + S)
    index, term, members, state = found.pop("snapshot")
    assert (index, term, members) == (104, 1, [["voter-a", "voter-b", "voter-c"], []])
    assert msgspec.msgpack.decode(state) == STATE
    assert found == {
        "name": "voter-a",
        "start": 3,
        "known": {"voter-b": [4, 178], "voter-c": [1, 195]},
        "refused": [],
        "term": 3,
        "vote": "voter-c",
        "entries": VOTER_ENTRIES,
    }


def test_a_voter_goes_on_by_its_folder(copied):
    folder = copied("voter")
    members = [["voter-a", "voter-b", "voter-c", "voter-d"], []]
    assert voter_after(folder, "voter-a", UNIX_TIME + S) == (3, "voter-c", 109, members)
    found = read_voter_folder(folder, "voter-a", UNIX_TIME + S)
    assert found["start"] == 4
    machine = Machine.of_state(found["snapshot"][3])
    answers = [
        machine.apply(index, data if kind == "data" else None) for index, _, kind, data in found["entries"]
    ]
    assert answers == [("withdrawn", []), ("", []), ("", []), ("halted", []), ("", [])]
    assert (machine.state()[1], machine.steps(), machine.phases()) == (
        109,
        set(range(8)),
        {1, 2, 3, 4},
    )


def test_a_voters_files_hold_plain_arrays():
    folder = GOLDEN / "voter"
    assert msgspec.msgpack.decode((folder / "self").read_bytes()) == ["voter-a", 2]
    known = msgspec.msgpack.decode((folder / "known").read_bytes())
    assert known == {"voter-b": [4, 178], "voter-c": [1, 195]}
    payload = snapshot_of(folder / "agreed-0000000000000002.snap", "agreed", 2)
    *rest, state = msgspec.msgpack.decode(payload)
    assert rest == [104, 1, [["voter-a", "voter-b", "voter-c"], []]]
    assert state == golden("rollout/state")
    payloads = payloads_of_file(folder / "agreed-0000000000000002.log")
    assert [msgspec.msgpack.decode(payload) for payload in payloads] == VOTER_RECORDS


def test_a_replicas_folder_is_read_to_its_values(copied):
    assert read_replica_folder(copied("replica"), UNIX_TIME + S) == {
        "start": 4,
        "refused": [],
        "age": 1_000_000_000,
        "facts": [REPLICA_SNAPSHOT[2], REPLICA_SNAPSHOT[4], FACTS_OF_B[2], FACTS_OF_B[0], LATE_PURGE],
        "seen": [
            ["front-a", LIFE_A, [1, 11]],
            ["front-b", LIFE_B, [1, 4, 6, 9]],
            ["front-c", LIFE_C, [2, 5]],
        ],
        "digest": 5684762180826364991,
    }


def test_a_replicas_files_hold_plain_arrays():
    folder = GOLDEN / "replica"
    assert (folder / "start").read_bytes() == b"3"
    payload = snapshot_of(folder / "facts-0000000000000002.snap", "facts", 2)
    lives, pieces = msgspec.msgpack.decode(payload)
    assert lives == [["front-a", LIFE_A, [1, 8]]]
    assert [msgspec.msgpack.decode(piece) for piece in pieces] == [REPLICA_SNAPSHOT[:3], REPLICA_SNAPSHOT[3:]]
    payloads = payloads_of_file(folder / "facts-0000000000000002.log")
    assert [msgspec.msgpack.decode(payload) for payload in payloads] == REPLICA_RECORDS


def test_a_snapshot_of_servers_is_taken_up_at_a_start(copied):
    rows, generation, drains = read_servers_folder(copied("servers"), MONOTONIC + S, UNIX_TIME + S)
    assert rows == SERVERS_OF_FILE
    assert generation == 4
    assert drains == [
        [12, [["file", 121 * S, 1749999200000000000]]],
        [21, [["bus", 61 * S, 0]]],
        [11, [["front-b of bus", 31 * S, 1749999100000000000]]],
        [22, [["front-b of bus", 11 * S, 0]]],
    ]


def test_a_snapshot_of_servers_holds_plain_arrays():
    payload = snapshot_of(GOLDEN / "servers" / "servers-0000000000000004.snap", "servers", 4)
    assert json.loads(payload) == SERVERS
