"""Checkers of the replication's promises. Each reads a trace alone, (time, front, what, ...), and gives what broke.

The numbers are those of the promises in docs/design-replication.md. A value is a tuple of which the greater must hold;
a word's is (life, counter, state), a purge's is (time,).
"""

LIFTED = 2


def lost(trace):
    """1: what a front has on disk is, at the end, at every front that is up (or a greater value of its key).

    Left out: what was let go, which `back` and `let_go_early` watch.
    """
    disks, gone, found = {}, set(), []
    for _, front, what, *more in trace:
        if what == "kept":
            held = disks.setdefault(front, {})
            for key, value in more[0]:
                held[key] = max(held.get(key, value), value)
        elif what == "let-go":
            gone.add(more[0])
        elif what == "folder-put-back":
            disks.pop(front, None)  # what it alone had is lost with its disk
    kept = {}
    for held in disks.values():
        for key, value in held.items():
            kept[key] = max(kept.get(key, value), value)
    for _, front, what, *more in trace:
        if what == "dump":
            found += [
                f"{front} lacks {key} {value}, has {more[0].get(key)}"
                for key, value in sorted(kept.items())
                if key not in gone and (key not in more[0] or more[0][key] < value)
            ]
    return found


def back(trace):
    """2: at one front a key's value never gets smaller, from what it was told or acted on to what it holds later."""
    held, found = {}, []
    for at, front, what, *more in trace:
        if what in ("told", "acts"):
            key, value = more[0], more[1]
            was = held.get((front, key))
            if was is not None and value < was:
                found.append(f"{at} {front} goes back from {was} to {value} of {key}")
            held[front, key] = max(value, was or value)
        elif what in ("dump", "live"):
            for key, value in more[-2].items() if what == "dump" else more[-1].items():
                was = held.get((front, key))
                if was is not None and value < was:
                    found.append(f"{at} {front} holds {value} of {key}, had {was}")
        elif what == "let-go":
            held.pop((front, more[0]), None)  # of no use any longer: what is older may be heard of after that
        elif what == "crash":
            held = {(name, key): value for (name, key), value in held.items() if name != front}
    return found


def differ(trace):
    """3: at the end all fronts that are up hold the same, but for what one of them has let go already."""
    gone = {more[0] for _, _, what, *more in trace if what == "let-go"}
    dumps = [(front, more[0]) for _, front, what, *more in trace if what == "dump"]
    found = []
    for front, held in dumps[1:]:
        for key in sorted((set(held) | set(dumps[0][1])) - gone):
            if held.get(key) != dumps[0][1].get(key):
                found.append(
                    f"{front} has {held.get(key)} of {key}, {dumps[0][0]} has {dumps[0][1].get(key)}"
                )
    return found


def lives_twice(trace):
    """5: no two processes are one life, and a front's later life is the greater one."""
    seen, last, found = {}, {}, []
    for at, front, what, *more in trace:
        if what == "life":
            if more[0] in seen:
                found.append(f"{at} {front} is life {more[0]:x} again, as {seen[more[0]]} was")
            if more[0] <= last.get(front, 0):
                found.append(f"{at} {front} is life {more[0]:x} after {last[front]:x}")
            seen[more[0]] = last[front] = front if more[0] not in seen else seen[more[0]]
            last[front] = more[0]
        elif what == "folder-put-back":
            last.pop(front, None)  # its starts are counted from there again; the beings tell lives apart
    return found


def said_and_lost(trace):
    """6: what a front has said to have seen it has seen after a restart as well."""
    said, found = {}, []
    for at, front, what, *more in trace:
        if what == "says-seen":
            for owner, life, ends in more[0]:
                said.setdefault(front, {}).setdefault((owner, life), set()).update(_counters(ends))
        elif what == "folder-put-back":
            said.pop(front, None)
        elif what == "loaded":
            there = {(owner, life): set(_counters(ends)) for owner, life, ends in more[0]}
            for life, counters in sorted(said.get(front, {}).items()):
                if missing := counters - there.get(life, set()):
                    found.append(
                        f"{at} {front} said it had seen {life} {sorted(missing)[:5]}, and comes up without"
                    )
    return found


def let_go_early(trace):
    """7: a drain whose lifting was let go is in force at no front again that had let it go, and at the end at none."""
    lifted, anywhere, found = {}, {}, []
    for at, front, what, *more in trace:
        if what == "let-go" and more[0][0] == "word":
            lifted[front, more[0]] = anywhere[more[0]] = max(more[1], anywhere.get(more[0], more[1]))
        elif what == "acts" and more[1] < lifted.get((front, more[0]), ()) and more[1][2] != LIFTED:
            found.append(
                f"{at} {front} acts on {more[1]} of {more[0]}, whose {lifted[front, more[0]]} it let go"
            )
        elif what == "dump":
            found += [
                f"{at} {front} holds {value} of {key}, of which {anywhere[key]} was let go"
                for key, value in more[0].items()
                if key in anywhere and value < anywhere[key] and value[2] != LIFTED
            ]
        elif what == "folder-put-back":
            lifted = {(name, key): value for (name, key), value in lifted.items() if name != front}
    return found


def live_too_early(trace):
    """8: a front that says it has caught up has seen all that those it asked had seen when they were asked."""
    found = []
    for at, front, what, *more in trace:
        if what == "live" and more[0] == "caught-up":
            seen = {(owner, life): set(_counters(ends)) for owner, life, ends in more[1]}
            if not more[2]:
                found.append(f"{at} {front} is live and asked nobody")
            for name, lives in sorted(more[2].items()):
                for owner, life, ends in lives:
                    if missing := set(_counters(ends)) - seen.get((owner, life), set()):
                        found.append(
                            f"{at} {front} is live without {owner} {life:x} {sorted(missing)[:5]} of {name}"
                        )
    return found


def falsely_gone(trace, grace=0):
    """9: none counts a front as gone that was up, not paused, not cut off; `grace`: ns after a trouble of its own."""
    well, troubled, found = {}, {}, []
    for at, front, what, *more in trace:
        if what in ("life", "woken"):
            well[front], troubled[front] = True, at
        elif what in ("crash", "paused", "cut"):
            well[front] = False
        elif what == "healed":
            well[front], troubled[front] = True, at
        elif what == "stands" and more[1] == 2:
            name = more[0]
            if well.get(name) and at - troubled.get(name, at) > grace and well.get(front):
                found.append(f"{at} {front} counts {name} as gone")
    return found


def _counters(ends):
    for first, past in zip(ends[::2], ends[1::2], strict=True):
        yield from range(first, past)


ALL = {1: lost, 2: back, 3: differ, 5: lives_twice, 6: said_and_lost, 7: let_go_early, 8: live_too_early}


def broken(trace):
    """(number, what) of each promise that the trace breaks."""
    return [(number, text) for number, check in ALL.items() for text in check(trace)]
