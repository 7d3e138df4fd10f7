"""What sprucegate keeps on disk and sends between fronts, in plain values: encoders, decoders and golden files.

The files in tests/data/stored were written by the code of commit 8d2589c, before its names were changed. They prove
that later code reads the same bytes and writes the same bytes. They were written by

    python -m tests.stored_data --write

at the root of the repository: run once on commit 8d2589c; never rerun to make a test pass. A change of a format on disk
or on the wire gets new files under another name, beside these.

Every name of sprucegate that these tests use stands in this module, between here and the line "Plain values": the
imports, the tables of classes by label, and small adapters. The labels are those of the golden files and stay as they
are. test_stored_data.py imports nothing of sprucegate.
"""

import asyncio
import contextlib
import os
import pathlib
import sys
from enum import Enum
from types import SimpleNamespace
from unittest import mock

import msgspec

from sprucegate import clock
from sprucegate.discovery import merged_view as membership_view
from sprucegate.discovery import service as membership
from sprucegate.fleet.consensus import (
    actions,
    durability_check,
    follow_messages,
    log_entry,
    messages,
    raft_node,
)
from sprucegate.fleet.consensus import codec as consensus_codec
from sprucegate.fleet.consensus.storage import RaftStorage
from sprucegate.fleet.failure_detector import messages as swim
from sprucegate.fleet.failure_detector.member import Member
from sprucegate.fleet.links import codec
from sprucegate.fleet.quotas import codec as quota_codec
from sprucegate.fleet.quotas import component as shares
from sprucegate.fleet.quotas import messages as quota_messages
from sprucegate.fleet.quotas.settings import QuotaSettings
from sprucegate.fleet.random_source import RandomSource
from sprucegate.fleet.replica import facts, replica
from sprucegate.fleet.replica_storage import ReplicaStorage, encode_records
from sprucegate.fleet.rollout import budgets, commands, releases
from sprucegate.fleet.rollout.rollout import RolloutStateMachine
from sprucegate.routing import events
from sprucegate.storage import records
from sprucegate.storage.disk import Disk

GOLDEN = pathlib.Path(__file__).parent / "data" / "stored"

# Kinds of messages between fronts, as links/codec numbers them: label of the golden file -> class.
FRAME_KINDS = {
    "01-ping": swim.Ping,
    "02-ack": swim.Ack,
    "03-ping-for": swim.PingRequest,
    "04-nack": swim.Nack,
    "05-all": swim.FullState,
    "06-tell": replica.SpreadRecords,
    "07-done": replica.TransferEnd,
    "08-held": replica.DigestAnnouncement,
    "09-have": replica.SeenReport,
    "10-mark": replica.CatchUpMark,
    "11-ranges": replica.RangeDigests,
    "12-keys": replica.RangeKeys,
    "13-repair": replica.RepairRecords,
    "14-evidence": replica.EvidenceMessage,
    "15-routed": codec.ConsensusFrame,
    "16-refused": swim.ConnectionRefused,
    "17-word": codec.ComponentMessage,
}

# Words of the agreed log, as links/agreed numbers them. They travel inside a routed message.
AGREED_KINDS = {
    "01-vote": messages.RequestVote,
    "02-vote-answer": messages.RequestVoteResponse,
    "03-append": messages.AppendEntries,
    "04-append-answer": messages.AppendEntriesResponse,
    "05-whole": messages.InstallSnapshot,
    "06-stand": messages.TimeoutNow,
    "07-follow": follow_messages.FollowRequest,
    "08-entries": follow_messages.EntriesResponse,
    "09-state": follow_messages.StateResponse,
    "10-propose": follow_messages.ProposeRequest,
    "11-proposed": follow_messages.ProposeResponse,
    "12-begins": durability_check.StartAnnouncement,
    "13-begun": durability_check.StartConfirmation,
}

# Words on shares, as shares/part numbers them. They travel inside a word for a part of the fleet.
SHARES_KINDS = {
    "1-need": quota_messages.QuotaRequest,
    "2-lent": quota_messages.LeaseGrant,
    "3-asks": quota_messages.LeaseHolderQuery,
    "4-goes": quota_messages.LeaseHolderNotice,
}

# Who begins a connection, and what the command line asks of a front: records without a kind.
GREETING, QUESTION = "greeting", "question"

# What is sent or stored as an array, by the order of its fields: a field may be renamed here and there, never moved.
FIELDS = {
    swim.Ping: "number to digest updates",
    swim.Ack: "number digest updates",
    swim.PingRequest: "number target updates",
    swim.Nack: "number",
    swim.FullState: "members reply_requested",
    swim.ConnectionRefused: "name incarnation",
    Member: "name address incarnation refutation state reported_by",
    replica.SpreadRecords: "records transfer piece",
    replica.TransferEnd: "transfer pieces claims",
    replica.DigestAnnouncement: "digest",
    replica.SeenReport: "seen root share number",
    replica.CatchUpMark: "number seen has_caught_up",
    replica.RangeDigests: "digests",
    replica.RangeKeys: "ranges records reply_requested",
    replica.RepairRecords: "records",
    replica.EvidenceMessage: "sent_at beliefs ejections",
    codec.ConsensusFrame: "sender to number data",
    codec.ComponentMessage: "component data",
    codec.Greeting: "format fleet role name address incarnation",
    codec.Question: "what args",
    messages.RequestVote: "term last_log_index last_log_term pre_vote leadership_transfer",
    messages.RequestVoteResponse: "term pre_vote vote_granted",
    messages.AppendEntries: "term prev_log_index prev_log_term entries leader_commit round",
    messages.AppendEntriesResponse: "term success match_index round",
    messages.InstallSnapshot: "term last_included_index last_included_term configuration state round",
    messages.TimeoutNow: "term",
    log_entry.LogEntry: "index term kind data",
    log_entry.ClusterConfiguration: "voters learners",
    follow_messages.FollowRequest: "applied_index incarnation number report",
    follow_messages.EntriesResponse: "number after_index entries commit_index is_leader leader",
    follow_messages.StateResponse: "number index state is_leader leader",
    follow_messages.ProposeRequest: "number command",
    follow_messages.ProposeResponse: "number index result leader",
    durability_check.StartAnnouncement: "start_count incarnation known_starts",
    durability_check.StartConfirmation: "start_count incarnation accepted never_voted known_starts",
    quota_messages.QuotaRequest: "incarnation lease_holder epoch sequence echo grant floors_lent lease_counted sources",
    quota_messages.LeaseGrant: "epoch sequence stamp grant sources",
    quota_messages.LeaseHolderQuery: "incarnation followers",
    quota_messages.LeaseHolderNotice: "name incarnation followers",
    facts.ReplicatedRecord: "key value version",
    events.BeliefGossip: "object part cache started remaining age",
    events.EjectionGossip: "cache started as_source remaining slowness age",
    budgets.ManagedServer: "name role location kind group weight",
    budgets.DisruptionBudget: "scope of role count share",
    budgets.CapacityLimits: "cold_share spare",
    releases.ReleasePlan: "name kind version former waves bake",
}

COMMAND_NAMES = set(commands.ARGUMENT_TYPES)


def plain(value):
    """The value as lists, maps, numbers, texts and bytes: named tuples become lists, members of enums their values."""
    if isinstance(value, Enum):
        return plain(value.value)
    if isinstance(value, list | tuple):
        return [plain(one) for one in value]
    if isinstance(value, dict):
        return {key: plain(one) for key, one in value.items()}
    if isinstance(value, msgspec.Struct):
        return plain(msgspec.structs.astuple(value))
    return value


def _label(kinds, message):
    return next(label for label, kind in kinds.items() if type(message) is kind)


def fields_of_code():
    """The fields that each class of FIELDS has, in the order of the class."""
    return {
        kind: " ".join(kind.__struct_fields__ if issubclass(kind, msgspec.Struct) else kind._fields)
        for kind in FIELDS
    }


def kinds_of_code():
    """The classes that the code knows by number, in order, for each of the three tables above."""
    return {
        "frames": [codec.KINDS[number] for number in range(1, 1 + len(codec.KINDS))],
        "agreed": [kind.message for kind in consensus_codec.KIND_BY_NUMBER.values()],
        "shares": list(quota_codec.KINDS[1:]),
    }


# What one front heard of a server from one of its sources.
DRAINING, GONE, LIFTED = facts.SourceState.DRAINING, facts.SourceState.GONE, facts.SourceState.LIFTED

# Frames between fronts.


def payloads_of(data):
    """The payloads of the records of one connection."""
    reader = codec.Reader()
    return reader.feed(data)


def encoded_frame(label, fields):
    if label == GREETING:
        return codec.encode_greeting(codec.Greeting(*fields))
    if label == QUESTION:
        return codec.encode_question(codec.Question(*fields))
    return codec.encode_message(FRAME_KINDS[label](*fields))


def decoded_frame(data, label=""):
    """(label, fields, the same bytes encoded anew from what was decoded); GREETING and QUESTION are asked for."""
    (payload,) = payloads_of(data)
    if label == GREETING:
        made = codec.decode_greeting(payload)
        return label, plain(made), codec.encode_greeting(made)
    if label == QUESTION:
        made = codec.decode_question(payload)
        return label, plain(made), codec.encode_question(made)
    made = codec.decode_message(payload)
    return _label(FRAME_KINDS, made), plain(made), codec.encode_message(made)


def encoded_agreed(label, fields):
    """A word of the agreed log from voter-a to voter-b, as one frame between fronts."""
    number, data = consensus_codec.encode(AGREED_KINDS[label](*fields))
    return codec.encode_message(codec.ConsensusFrame("voter-a", "voter-b", number, data))


def decoded_agreed(data):
    """(sender, receiver, label, fields, the frame encoded anew)."""
    routed = codec.decode_message(*payloads_of(data))
    made = consensus_codec.decode(routed.number, routed.data)
    number, again = consensus_codec.encode(made)
    frame = codec.encode_message(codec.ConsensusFrame(routed.sender, routed.to, number, again))
    return routed.sender, routed.to, _label(AGREED_KINDS, made), plain(made), frame


def encoded_shares(label, fields):
    """A word on shares as one frame between fronts."""
    return codec.encode_message(
        codec.ComponentMessage(shares.QuotaComponent.name, quota_codec.encode(SHARES_KINDS[label](*fields)))
    )


def decoded_shares(data, tenants, places):
    """(part of the fleet, label, fields, the frame encoded anew); `tenants` and `places` are the operator's."""
    word = codec.decode_message(*payloads_of(data))
    made = quota_codec.decode(word.data, QuotaSettings(tenants, (), places, 0))
    frame = codec.encode_message(codec.ComponentMessage(word.component, quota_codec.encode(made)))
    return word.component, _label(SHARES_KINDS, made), plain(made), frame


# The machine that the agreed log drives.


class Machine:
    """Permits and releases: commands in, words out, and the whole state as plain data."""

    def __init__(self):
        self.rollout = RolloutStateMachine()

    @classmethod
    def of_state(cls, encoded):
        """The machine that a snapshot holds; None where the code refuses its format."""
        made = cls()
        return made if made.rollout.restore(msgspec.msgpack.decode(encoded)) else None

    def apply(self, index, command):
        """(the word for whoever proposed it, ids of the permits that it grants)."""
        word, granted = self.rollout.apply(index, command)
        return word, [permit.id for permit in granted]

    def state(self):
        return plain(self.rollout.snapshot())

    def encoded(self):
        return msgspec.msgpack.encode(self.rollout.snapshot())

    def steps(self):
        return {int(permit.step) for permit in self.rollout.permits.permits.values()}

    def phases(self):
        return {int(release.phase) for release in self.rollout.releases.releases.values()}


def fault_of_command(command):
    """Why the code would refuse that command at the door, or ""."""
    return commands.validation_error(command)


# Folders.


def write_voter_folder(folder, name, starts, known, unix_time, writes):
    """A voter's folder after so many starts. `writes`: (term, vote, cut, entries, snapshot) in order.

    An entry is (index, term, kind, data); a snapshot is (index, term, members, state) or None; members are
    (voters, learners).
    """
    ledger = RaftStorage(Disk(), str(folder))
    for _ in range(starts):
        ledger.count_start(name)
    assert ledger.write_known_starts(known) is None
    ledger.load(unix_time)
    for number, (term, vote, cut, rows, snapshot) in enumerate(writes, 1):
        entries = [
            log_entry.LogEntry(index, at, kind, _entry_data(kind, data)) for index, at, kind, data in rows
        ]
        if snapshot is not None:
            index, at, members, state = snapshot
            snapshot = index, at, log_entry.ClusterConfiguration(*members), state
        assert (
            ledger.write(actions.PersistState(number, term, vote, cut, entries, snapshot), unix_time) is None
        )
    ledger.close()


def _entry_data(kind, data):
    return log_entry.ClusterConfiguration(*data) if kind == log_entry.CONFIG else data


def read_voter_folder(folder, name, unix_time):
    """What a start finds in the folder, as plain data. The start is counted and a new log is begun."""
    ledger = RaftStorage(Disk(), str(folder))
    found_name, start = ledger.count_start(name)
    known, kept = ledger.read_known_starts(), ledger.load(unix_time)
    ledger.close()
    return {
        "name": found_name,
        "start": start,
        "known": plain(known),
        "refused": kept.refused,
        "term": kept.term,
        "vote": kept.voted_for,
        "snapshot": plain(kept.snapshot),
        "entries": plain(kept.entries),
    }


def voter_after(folder, name, unix_time):
    """(term, vote, last index, members) of a voter that begins with the folder."""
    ledger = RaftStorage(Disk(), str(folder))
    ledger.count_start(name)
    kept = ledger.load(unix_time)
    ledger.close()
    voter = raft_node.RaftNode(name, log_entry.ClusterConfiguration((name,), ()), RandomSource(name, 1), 0)
    voter.load(kept.term, kept.voted_for, kept.snapshot, kept.entries)
    return voter.current_term, voter.voted_for, voter.log.last_index(), plain(voter.configuration())


class _Front:
    """One front's replica over its folder, with every write synced at once."""

    def __init__(self, folder, name, life, starts, unix_time, **lives):
        self.keeping = ReplicaStorage(Disk(), str(folder))
        for _ in range(starts):
            self.keeping.count_start()
        self.keeping.load(unix_time)
        self.replica = replica.Replica(name, life, RandomSource(name, 1), 0, **lives)
        self.now, self.unix_time = 0, unix_time

    def does(self, actions):
        for action in actions:
            if isinstance(action, replica.PersistRecords):
                assert self.keeping.write(action.record) is None
                self.does(self.replica.on_written(action.number, self.now))

    def told(self, key, value):
        self.does(self.replica.on_own_record(key, value, self.now))

    def heard(self, sender, label, fields):
        """A message of another front, as it comes from the wire."""
        (payload,) = payloads_of(encoded_frame(label, fields))
        self.does(self.replica.on_message(sender, codec.decode_message(payload), self.now))

    def snapshot(self):
        assert self.keeping.begin_snapshot() is None
        held, lives = self.replica.begin_snapshot()
        middle = len(held) // 2
        pieces = [encode_records(held[:middle]), encode_records(held[middle:])]
        assert self.keeping.finish_snapshot(lives, pieces, self.unix_time) is None

    def passes(self, span):
        self.now += span
        self.does(self.replica.on_timer(self.now))

    def close(self):
        self.keeping.close()


def read_replica_folder(folder, unix_time):
    """What a start finds in the folder, as plain data. The start is counted and a new log is begun."""
    keeping = ReplicaStorage(Disk(), str(folder))
    start, kept = keeping.count_start(), keeping.load(unix_time)
    keeping.close()
    loaded = replica.Replica("front-a", start << 32 | 1, RandomSource("front-a", 1), 0)
    loaded.load(list(kept.records.values()), kept.seen, 0)
    return {
        "start": start,
        "refused": kept.rejected,
        "age": kept.age,
        "facts": plain(list(kept.records.values())),
        "seen": plain(loaded.store.seen.as_ranges()),
        "digest": loaded.digest(),
    }


@contextlib.contextmanager
def _clocks_at(monotonic, unix):
    """Both clocks of the code stand still."""
    with mock.patch.object(clock, "now", lambda: monotonic), mock.patch.object(clock, "unix", lambda: unix):
        yield


SERVER_STATES = {
    "serving": events.EndpointState.SERVING,
    "draining": events.EndpointState.DRAINING,
    "gone": events.EndpointState.GONE,
}


def _server(row):
    number, location, kind, cell, state, weight, started, name, address, held = row
    entry = events.Endpoint(number, location, kind, cell, SERVER_STATES[state], weight, started)
    return membership_view.Server(entry, name, address, held)


def _membership(folder, now):
    driver = SimpleNamespace(clock=lambda: now, log=lambda *_, **__: None, apply=lambda _: None, fleet=None)
    node = SimpleNamespace(
        order=("file", "bus"),
        ramp=0,
        most_removed=0.5,
        hold=60_000_000_000,
        state=str(folder),
        keep=3,
        state_oldest=3600_000_000_000,
    )
    return membership.Membership(driver, None, node)


def write_servers_folder(folder, monotonic, unix, lists, words):
    """A front's snapshot of servers. `lists`: (source, rows, age in ns) in order; `words`: other fronts' drains."""

    async def written():
        made = _membership(folder, monotonic)
        for source, rows, age in lists:
            made.view.update(source, [_server(row) for row in rows], True, monotonic - age)
        for number, started, source, age in words:
            made.view.apply_drain_report(number, started, source, True, monotonic - age)
        await made.save_snapshot()

    with _clocks_at(monotonic, unix):
        asyncio.run(written())


def read_servers_folder(folder, monotonic, unix):
    """(rows of the file's list, generation, drains with their ages in ns) as a front that starts takes them up."""

    async def read():
        made = _membership(folder, monotonic)
        kept = made._read_snapshot()
        drains = [
            [number, [[one.source, monotonic - one.since, one.started] for one in several]]
            for number, several in made.view.drains.items()
        ]
        return kept["file"], made.view.generation, drains

    with _clocks_at(monotonic, unix):
        return asyncio.run(read())


def payloads_of_file(path):
    """The records of a file of records, each with a checksum."""
    scanned = records.scan(path.read_bytes())
    assert scanned.fault == ""
    return scanned.records


# Plain values: nothing of sprucegate from here on.

S = 1_000_000_000
UNIX_TIME = 1_750_000_000 * S
MONOTONIC = 5_000 * S
LIFE_A, LIFE_B, LIFE_C = 3 << 32 | 0xA1, 1 << 32 | 0xB2, 2 << 32 | 0xC3

# Messages between fronts.

MEMBER_A = ["front-a", "192.0.2.1:7000", LIFE_A, 2, 0, "front-a"]
MEMBER_B = ["front-b", "192.0.2.2:7000", LIFE_B, 0, 1, "front-a"]
MEMBER_C = ["front-c", "192.0.2.3:7000", LIFE_C, 1, 2, "front-b"]
MEMBER_D = ["front-d", "192.0.2.4:7000", 4 << 32, 0, 3, "front-d"]
FACTS = [
    [["purge", "object", 0x5EED], [UNIX_TIME], ["front-a", LIFE_A, 1]],
    [["purge", "group", 17], [UNIX_TIME + 1], ["front-a", LIFE_A, 2]],
    [["word", 11, 0, "bus", "front-a"], [LIFE_A, 3, 0], ["front-a", LIFE_A, 3]],
    [["word", 12, UNIX_TIME, "file", "front-b"], [LIFE_B, 1, 1], ["front-b", LIFE_B, 1]],
    [["word", 13, 0, "bus", "front-b"], [LIFE_B, 2, 2], ["front-b", LIFE_B, 2]],
    [["held", "0f1e2d"], [1], ["front-b", LIFE_B, 3]],
]
LIVES = [["front-a", LIFE_A, [1, 4, 6, 9]], ["front-b", LIFE_B, [1, 3]]]
FRAMES = {
    "01-ping": [1, "front-b", 2**63, [MEMBER_A, MEMBER_B]],
    "02-ack": [1, 2**64 - 1, [MEMBER_C]],
    "03-ping-for": [2, "front-c", []],
    "04-nack": [300],
    "05-all": [[MEMBER_A, MEMBER_B, MEMBER_C, MEMBER_D], True],
    "06-tell": [FACTS, 4, 1],
    "07-done": [4, 2, LIVES],
    "08-held": [2**64 - 1],
    "09-have": [LIVES, 2**63 + 9, [0, 2], 1],
    "10-mark": [1, LIVES, False],
    "11-ranges": [[0, 1, 2**64 - 1] + [0] * 253],
    "12-keys": [[3, 250], [[FACTS[0][0], FACTS[0][2], 11], [FACTS[3][0], FACTS[3][2], 2**63]], True],
    "13-repair": [FACTS[2:4]],
    "14-evidence": [
        UNIX_TIME,
        [[0x5EED, 0, 11, 0, 5 * S, S], [0x5EED, 1, 12, UNIX_TIME, S, 0]],
        [[21, UNIX_TIME, True, 9 * S, 1500, S], [11, 0, False, 0, 1000, 0]],
    ],
    "15-routed": ["voter-a", "voter-b^a1", 6, b"\x91\x07"],
    "16-refused": ["front-c", LIFE_C],
    "17-word": ["shares", b"\x03\x00\xff"],
    "greeting": [1, "edge", "front", "front-a", "192.0.2.1:7000", LIFE_A],
    "question": ["why", ["view", "front-b"]],
}

# Words of the agreed log, and of shares.

STARTS = {"voter-a": [2, 0xA1], "voter-b": [1, 0xB2]}
AGREED = {
    "01-vote": [7, 41, 6, True, False],
    "02-vote-answer": [7, False, True],
    "03-append": [
        7,
        40,
        6,
        [
            [41, 6, "data", ["withdraw", "p1"]],
            [42, 7, "nothing", None],
            [43, 7, "config", [["voter-a", "voter-b"], ["voter-c"]]],
            [44, 7, "data", ["front", "front-a", LIFE_A, True]],
        ],
        40,
        9,
    ],
    "04-append-answer": [7, False, 39, 9],
    "05-whole": [7, 40, 6, [["voter-a", "voter-b", "voter-c"], []], b"\x95\x01\x28\x90\x90\x80", 9],
    "06-stand": [7],
    "07-follow": [
        40,
        LIFE_A,
        12,
        [[["cache-1", 1000, 5, 20, 50, 100, 1]], ["cache-2"], {"origin": "origin-1 is overloaded"}],
    ],
    "08-entries": [12, 40, [[41, ["withdraw", "p1"]], [42, None]], 42, True, "voter-a"],
    "09-state": [12, 42, [1, 42, [], [], {}], False, "voter-b"],
    "10-propose": [3, ["once", "request-1", ["halt", "r1", "an operator", "looks wrong"]]],
    "11-proposed": [3, 43, "halted", ""],
    "12-begins": [2, 0xA1, STARTS],
    "13-begun": [2, 0xA1, True, False, STARTS],
}
TENANTS = ((1, 0), (3, 2))  # weight and floor of each
PLACES = {31: 12, 32: 8}
SHARES = {
    "1-need": [
        LIFE_A,
        LIFE_B,
        2,
        77,
        MONOTONIC,
        76,
        3 * S,
        S,
        [[31, 4, 1, 9, 2, [[0, 1, 0], [1, 3, 5]]], [32, 0, 0, 0, 0, []]],
    ],
    "2-lent": [2, 77, MONOTONIC + 5, 78, [[31, 1, [[0, 2], [1, 6]]], [32, 8, []]]],
    "3-asks": [LIFE_A, 3],
    "4-goes": ["front-b", LIFE_B, 2],
}

# Commands of the agreed log. The entry at index 1 is the log's own, command N has the index N + 2.

BOXES = [
    *[[f"north-{n}", "cache", "north", "edge", "one" if n < 4 else "two", 100] for n in range(1, 7)],
    *[[f"south-{n}", "cache", "south", "edge", "three", 50 * n] for n in range(1, 5)],
    *[[f"parent-{n}", "cache", "hub", "parent", "two", 400] for n in range(1, 5)],
    *[[f"front-{n}", "front", "north", "front", "", 1] for n in "abc"],
]
BUDGETS = [
    ["fleet", "", "front", 8, 1000],
    ["location", "north", "cache", 3, 700],
    ["kind", "parent", "", 3, 900],
    ["group", "", "cache", 6, 1000],
]
PLAN_EDGE = ["r-edge", "edge", "2.0", "1.9", [["south-1"], ["south-2", "south-3"]], 60 * S]
PLAN_FIRST = ["r-first", "parent", "1.9", "1.8", [["parent-2"]], 0]
PLAN_AGAIN = ["r-again", "edge", "2.1", "1.9", [["south-2"], ["south-3"]], 60 * S]
PLAN_FRONT = ["r-front", "front", "2.0", "1.9", [["front-c"]], 60 * S]
PLAN_PARENT = ["r-parent", "parent", "2.0", "1.9", [["parent-1"], ["parent-2"]], 30 * S]


def _back(permit, agent, start):
    """The commands by which a granted permit's box goes out and comes back."""
    return [
        ["drained", permit, "front-a", LIFE_A],
        ["drained", permit, "front-b", LIFE_B],
        ["out", permit, agent],
        ["started", permit, start],
        ["warm", permit, start, "front-a", LIFE_A],
        ["warm", permit, start, "front-b", LIFE_B],
    ]


COMMANDS = [
    ["limits", BUDGETS, [200, 3000]],
    ["boxes", BOXES],
    ["front", "front-a", LIFE_A, True],
    ["front", "front-b", LIFE_B, True],
    ["front", "front-c", LIFE_C, True],
    ["left", "front-c", LIFE_C],
    # One permit through all its steps.
    ["ask", "p1", "north-1", "an operator", "a new kernel"],
    ["ask", "p1", "north-1", "an operator", "a new kernel"],
    ["drained", "p1", "front-a", LIFE_A],
    ["out", "p1", "agent-1"],
    ["drained", "p1", "front-b", LIFE_B],
    ["out", "p1", "agent-1"],
    ["renew", "p1", "agent-1"],
    ["late", "p1", 1],
    ["started", "p1", "start-1"],
    ["warm", "p1", "start-1", "front-a", LIFE_A],
    ["warm", "p1", "start-1", "front-b", LIFE_B],
    # Permits that are left in each step.
    ["ask", "p2", "north-2", "an operator", "a disk"],
    ["withdraw", "p2"],
    ["ask", "p3", "north-3", "an operator", "a disk"],
    ["give-up", "north-3"],
    ["ask", "p4", "north-4", "an operator", "a disk"],
    *_back("p4", "agent-4", "start-4")[:5],
    ["ask", "p5", "north-5", "an operator", "a disk"],
    *_back("p5", "agent-5", "start-5")[:3],
    ["late", "p5", 0],
    ["ask", "p6", "north-6", "an operator", "a disk"],
    *_back("p6", "agent-6", "start-6")[:2],
    ["ask", "p7", "south-4", "an operator", "a disk"],
    ["drained", "p7", "front-a", LIFE_A],
    ["ask", "p8", "north-1", "an operator", "a disk"],
    ["ask", "p9", "nowhere-1", "an operator", "a disk"],
    # A box that fails by itself, and one that comes back.
    ["stands", "parent-4", "unreachable"],
    ["stands", "parent-3", "unreachable"],
    ["stands", "parent-3", ""],
    # A release that is done, one that has returned, one that goes back, one that is halted, one that runs.
    ["release", PLAN_FIRST, "an operator"],
    *_back("r-first/0/parent-2", "agent-p", "start-f"),
    ["gate", "r-first", 0, 0, True, ""],
    ["release", PLAN_EDGE, "an operator"],
    *_back("r-edge/0/south-1", "agent-s", "start-s"),
    ["gate", "r-edge", 0, 0, True, "0.001 beside 0.001"],
    ["once", "request-1", ["halt", "r-edge", "an operator", "looks wrong"]],
    ["once", "request-1", ["halt", "r-edge", "an operator", "looks wrong"]],
    ["resume", "r-edge", "an operator"],
    ["back", "r-edge", "an operator"],
    *_back("r-edge/2/south-1", "agent-s", "start-t"),
    ["release", PLAN_AGAIN, "an operator"],
    *_back("r-again/0/south-2", "agent-s", "start-u"),
    ["back", "r-again", "an operator"],
    ["release", PLAN_FRONT, "an operator"],
    ["halt", "r-front", "an operator", "not today"],
    ["release", PLAN_PARENT, "an operator"],
    *_back("r-parent/0/parent-1", "agent-p", "start-p"),
    ["gate", "r-parent", 0, 0, True, "0.002 beside 0.001"],
    ["trouble", "origin", "2 of 2 fronts"],
    ["trouble", "log", "2 of 2 fronts"],
    ["trouble", "log", ""],
    # A front that comes back with another life, is lost, comes back once more and leaves.
    ["front", "front-c", LIFE_C + 1, True],
    ["front", "front-c", LIFE_C + 1, False],
    ["front", "front-c", LIFE_C + 2, True],
    ["left", "front-c", LIFE_C + 2],
    # Asked for again: the answer names the step, and a request given once keeps it.
    *[["ask", f"p{n}", f"north-{n}", "an operator", "asked again"] for n in range(1, 9)],
    ["once", "request-2", ["ask", "p10", "north-2", "an operator", "a disk"]],
    ["newer", "a later build's command"],
]


def applied(upto=None):
    """(the machine, [[word, ids granted], ...]) after the log's own entry and the first `upto` commands."""
    machine = Machine()
    answers = [machine.apply(1, None)]
    answers += [machine.apply(index, command) for index, command in enumerate(COMMANDS[:upto], 2)]
    return machine, [[word, granted] for word, granted in answers]


# A voter's folder: a snapshot of the machine after all commands, and entries with a change of members since.

LAST = len(COMMANDS) + 1  # index of the last command
VOTERS = ["voter-a", "voter-b", "voter-c"]
VOTER_KNOWN = {"voter-b": [4, 0xB2], "voter-c": [1, 0xC3]}
HALT = ["halt", "r-parent", "an operator", "enough for today"]


def voter_writes():
    first = [(1, 1, "nothing", None)]
    entries = [(index, 1, "data", command) for index, command in enumerate(COMMANDS, 2)]
    state = applied()[0].encoded()
    snapshot = (LAST, 1, (tuple(VOTERS), ()), state)
    lost = [(LAST + 1, 1, "data", ["withdraw", "p7"]), (LAST + 2, 1, "data", ["withdraw", "p8"])]
    won = [
        (LAST + 2, 3, "nothing", None),
        (LAST + 3, 3, "config", (tuple(VOTERS), ("voter-d",))),
        (LAST + 4, 3, "data", HALT),
    ]
    grown = [(LAST + 5, 3, "config", ((*VOTERS, "voter-d"), ()))]
    return [
        (1, "voter-a", 0, [], None),
        (1, "voter-a", 0, first, None),
        (1, "voter-a", 0, entries, None),
        (1, "voter-a", LAST + 1, [], snapshot),
        (1, "voter-a", 0, lost, None),
        (2, "voter-b", 0, [], None),
        (3, "", 0, [], None),
        (3, "voter-c", LAST + 2, won, None),
        (3, "voter-c", 0, grown, None),
    ]


def write_voter(folder):
    write_voter_folder(folder, "voter-a", 2, VOTER_KNOWN, UNIX_TIME, voter_writes())


# A replica's folder, and a front's servers.


def write_replica(folder):
    """Purges, drains, a lifted word and a held list; then a snapshot, a transfer with spans, and forgotten keys."""
    front = _Front(folder, "front-a", LIFE_A, 3, UNIX_TIME, purge_life=60 * S, word_life=600 * S)
    front.told(("purge", "object", 0x5EED), (UNIX_TIME,))
    front.told(("purge", "group", 17), (UNIX_TIME + 1,))
    front.told(("word", 11, 0, "bus", "front-a"), (DRAINING,))
    front.told(("word", 12, UNIX_TIME, "file", "front-a"), (DRAINING,))
    front.told(("word", 13, 0, "bus", "front-a"), (DRAINING,))
    front.told(("word", 13, 0, "bus", "front-a"), (GONE,))
    front.told(("held", "0f1e2d"), (0,))
    front.snapshot()
    front.told(("word", 12, UNIX_TIME, "file", "front-a"), (LIFTED,))
    front.told(("held", "0f1e2d"), (1,))
    front.heard("front-b", "06-tell", [FACTS[3:], 1, 0])
    front.heard(
        "front-b", "07-done", [1, 1, [["front-b", LIFE_B, [1, 4, 6, 9]], ["front-c", LIFE_C, [2, 5]]]]
    )
    front.passes(30 * S)
    front.told(("purge", "object", 0xFEED), (UNIX_TIME + 30 * S,))
    front.passes(31 * S)  # the first purges and the lifted words have outlived their use
    front.close()


SERVERS = [
    [11, 0, 0, 0, "serving", 1.0, UNIX_TIME - 900 * S, "north-1", "192.0.2.11:80", False],
    [12, 0, 0, 1, "draining", 2.5, UNIX_TIME - 800 * S, "north-2", "192.0.2.12:80", False],
    [13, 1, 0, 0, "serving", 0.5, 0, "south-1", "192.0.2.13:80", True],
    [21, 1, 2, 0, "serving", 1.0, 0, "parent-1", "192.0.2.21:80", False],
]
BUS = [
    [21, 1, 2, 0, "draining", 1.0, 0, "parent-1", "192.0.2.21:80", False],
    [22, 1, 2, 0, "serving", 1.0, 0, "parent-2", "192.0.2.22:80", False],
    [31, 1, 3, 0, "serving", 1.0, 0, "origin-1", "192.0.2.31:80", False],
]


def write_servers(folder):
    write_servers_folder(
        folder,
        MONOTONIC,
        UNIX_TIME,
        [("file", SERVERS, 120 * S), ("bus", BUS, 60 * S)],
        [(11, UNIX_TIME - 900 * S, "front-b of bus", 30 * S), (22, 0, "front-b of bus", 10 * S)],
    )


FOLDERS = {"voter": write_voter, "replica": write_replica, "servers": write_servers}


def files():
    """Everything that is not a folder written by the code: name -> bytes."""
    made = {f"frames/{label}": encoded_frame(label, fields) for label, fields in FRAMES.items()}
    made |= {f"agreed/{label}": encoded_agreed(label, fields) for label, fields in AGREED.items()}
    made |= {f"shares/{label}": encoded_shares(label, fields) for label, fields in SHARES.items()}
    machine, answers = applied()
    made["rollout/commands"] = msgspec.msgpack.encode(COMMANDS)
    made["rollout/answers"] = msgspec.msgpack.encode(answers)
    made["rollout/state"] = machine.encoded()
    return made


def write_golden(folder):
    """All golden files into an empty folder."""
    for name, data in files().items():
        (folder / name).parent.mkdir(parents=True, exist_ok=True)
        (folder / name).write_bytes(data)
    for name, write in FOLDERS.items():
        write(folder / name)


if __name__ == "__main__":
    if sys.argv[1:] != ["--write"] or GOLDEN.exists():
        sys.exit(
            "run once, on commit 8d2589c, with --write and without a folder of golden files: see the top"
        )
    os.umask(0o022)
    write_golden(GOLDEN)
