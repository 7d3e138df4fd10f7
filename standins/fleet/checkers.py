"""Checkers of the replication's guarantees. Each reads only a trace, (time, front, what, ...), and returns violations.

The numbers are those of the guarantees in docs/design-replication.md. A fact's value is a tuple, and the greater value
wins: (incarnation, counter, state) for a "word", which is what one source says of a server, (time,) for a purge.
"""

LIFTED = 2


def facts_lost(trace):
    """1: a fact that any front had on disk is, at the end, at every front that is up, or a greater value of its key.

    Discarded facts are left out: `values_decreased` and `drains_reapplied` check those.
    """
    disks, discarded, found = {}, set(), []
    for _, front, what, *more in trace:
        if what == "kept":
            held = disks.setdefault(front, {})
            for key, value in more[0]:
                held[key] = max(held.get(key, value), value)
        elif what == "let-go":
            discarded.add(more[0])
        elif what == "folder-put-back":
            disks.pop(front, None)  # what only this disk had is lost when the folder is restored from a copy
    kept = {}
    for held in disks.values():
        for key, value in held.items():
            kept[key] = max(kept.get(key, value), value)
    for _, front, what, *more in trace:
        if what == "dump":
            found += [
                f"{front} lacks {key} {value}, has {more[0].get(key)}"
                for key, value in sorted(kept.items())
                if key not in discarded and (key not in more[0] or more[0][key] < value)
            ]
    return found


def values_decreased(trace):
    """2: at one front a key's value never decreases, from what it was told or applied to what it holds later."""
    held, found = {}, []
    for at, front, what, *more in trace:
        if what in ("told", "acts"):
            key, value = more[0], more[1]
            was = held.get((front, key))
            if was is not None and value < was:
                found.append(f"{at} {front} goes from {was} back to {value} for {key}")
            held[front, key] = max(value, was or value)
        elif what in ("dump", "live"):
            for key, value in more[-2].items() if what == "dump" else more[-1].items():
                was = held.get((front, key))
                if was is not None and value < was:
                    found.append(f"{at} {front} holds {value} for {key}, had {was}")
        elif what == "let-go":
            held.pop((front, more[0]), None)  # after the discard an older value may arrive again
        elif what == "crash":
            held = {(name, key): value for (name, key), value in held.items() if name != front}
    return found


def replicas_differ(trace):
    """3: at the end all fronts that are up hold the same facts, except those that one of them has discarded."""
    discarded = {more[0] for _, _, what, *more in trace if what == "let-go"}
    dumps = [(front, more[0]) for _, front, what, *more in trace if what == "dump"]
    found = []
    for front, held in dumps[1:]:
        for key in sorted((set(held) | set(dumps[0][1])) - discarded):
            if held.get(key) != dumps[0][1].get(key):
                found.append(
                    f"{front} has {held.get(key)} for {key}, {dumps[0][0]} has {dumps[0][1].get(key)}"
                )
    return found


def incarnations_reused(trace):
    """5: no two processes share an incarnation, and each new incarnation of a front is greater than the last."""
    seen, last, found = {}, {}, []
    for at, front, what, *more in trace:
        if what == "life":
            if more[0] in seen:
                found.append(f"{at} {front} has incarnation {more[0]:x}, which {seen[more[0]]} already had")
            if more[0] <= last.get(front, 0):
                found.append(f"{at} {front} has incarnation {more[0]:x} after {last[front]:x}")
            seen[more[0]] = last[front] = front if more[0] not in seen else seen[more[0]]
            last[front] = more[0]
        elif what == "folder-put-back":
            last.pop(
                front, None
            )  # its start counter is reset too; the random part keeps incarnations distinct
    return found


def seen_reports_lost(trace):
    """6: what a front has reported as seen is still marked as seen after a restart."""
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
                        f"{at} {front} reported {life} {sorted(missing)[:5]} as seen, but lacks it after its restart"
                    )
    return found


def drains_reapplied(trace):
    """7: a drain is not applied again by a front that has discarded its lifting; at the end no front holds it."""
    lifted, discarded, found = {}, {}, []
    for at, front, what, *more in trace:
        if what == "let-go" and more[0][0] == "word":
            lifted[front, more[0]] = discarded[more[0]] = max(more[1], discarded.get(more[0], more[1]))
        elif what == "acts" and more[1] < lifted.get((front, more[0]), ()) and more[1][2] != LIFTED:
            found.append(
                f"{at} {front} applies {more[1]} of {more[0]} though {lifted[front, more[0]]} was discarded there"
            )
        elif what == "dump":
            found += [
                f"{at} {front} holds {value} of {key}, of which {discarded[key]} was discarded"
                for key, value in more[0].items()
                if key in discarded and value < discarded[key] and value[2] != LIFTED
            ]
        elif what == "folder-put-back":
            lifted = {(name, key): value for (name, key), value in lifted.items() if name != front}
    return found


def caught_up_too_early(trace):
    """8: a front that reports it has caught up has seen all that the fronts it asked had seen when they answered."""
    found = []
    for at, front, what, *more in trace:
        if what == "live" and more[0] == "caught-up":
            seen = {(owner, life): set(_counters(ends)) for owner, life, ends in more[1]}
            if not more[2]:
                found.append(f"{at} {front} has caught up without asking any front")
            for name, lives in sorted(more[2].items()):
                for owner, life, ends in lives:
                    if missing := set(_counters(ends)) - seen.get((owner, life), set()):
                        found.append(
                            f"{at} {front} has caught up without {owner} {life:x} {sorted(missing)[:5]} of {name}"
                        )
    return found


def falsely_gone(trace, grace=0):
    """9: no front counts another as gone that is up, neither paused nor cut off.

    `grace`: ns after a start, a resume or the end of a partition of the other front in which it may be counted as gone.
    """
    reachable, troubled, found = {}, {}, []
    for at, front, what, *more in trace:
        if what in ("life", "woken"):
            reachable[front], troubled[front] = True, at
        elif what in ("crash", "paused", "cut"):
            reachable[front] = False
        elif what == "healed":
            reachable[front], troubled[front] = True, at
        elif what == "stands" and more[1] == 2:
            name = more[0]
            if reachable.get(name) and at - troubled.get(name, at) > grace and reachable.get(front):
                found.append(f"{at} {front} counts {name} as gone while it is reachable")
    return found


def _counters(ends):
    for first, past in zip(ends[::2], ends[1::2], strict=True):
        yield from range(first, past)


ALL = {
    1: facts_lost,
    2: values_decreased,
    3: replicas_differ,
    5: incarnations_reused,
    6: seen_reports_lost,
    7: drains_reapplied,
    8: caught_up_too_early,
}


def find_violations(trace):
    """Return (number of the guarantee, text) for each violation in the trace."""
    return [(number, text) for number, check in ALL.items() for text in check(trace)]
