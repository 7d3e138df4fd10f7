"""Whether this tree decides as the recorded revision did: digests of every decision and trace, over fixed seeds.

`python -m benchmarks same [--quick]` is for changes that are to change no behaviour, such as renaming: each digest has
to equal the one in `decisions.json`. Digests are taken of a canonical form without names (`canonical.py`), so what is
renamed is followed in three places: the tables of `vocabulary.py`, the calls of `walks.py` and those of `traces.py`.

`python -m benchmarks same --record` writes the file. It was recorded on 8d2589c and is never recorded again to get a
pass: digests that are there stay, and only names that are missing are added. Record these on a tree of which nothing
else is apart. A change that is meant to change decisions removes, by hand and with its reason in the commit, exactly
the digests that it changes.
"""

import json
from pathlib import Path

from benchmarks import traces, walks
from benchmarks.canonical import Unknown

FILE = Path(__file__).with_name("decisions.json")
REVISION = "8d2589c"
QUICK, FULL = "quick", "full"
WALKS = {QUICK: (1, 1000), FULL: (8, 1200)}  # of each variant: how many, and the GETs of each
SEEDS = {QUICK: 2, FULL: 10}  # of each schedule


def cases(form):
    """{name: what returns its digest}, in the order in which they are run."""
    found = {}
    number, steps = WALKS[form]
    for variant in walks.VARIANTS:
        for seed in range(number):
            found[f"walk, {variant}, {seed}"] = _walk(variant, seed, steps)
    for name, digest in traces.SCHEDULES.items():
        for seed in range(SEEDS[form]):
            found[f"{name}, {seed}"] = _trace(digest, seed)
    return found


def _walk(variant, seed, steps):
    return lambda: walks.Walk(variant, seed).run(steps)


def _trace(digest, seed):
    return lambda: digest(seed)


def recorded():
    """The content of the file: its revision, and a table of digests for each form."""
    return json.loads(FILE.read_text())


def differences(wanted, run):
    """{name: why} of the cases whose digest is not the recorded one, is missing, or can't be told."""
    found = {name: "is recorded and not run" for name in wanted if name not in run}
    for name, digest in run.items():
        if name not in wanted:
            found[name] = "is not recorded"
            continue
        try:
            got = digest()
        except Unknown as fault:
            found[name] = str(fault)
            continue
        if got != wanted[name]:
            found[name] = f"{wanted[name][:12]} was recorded, {got[:12]} found"
    return found


def record():
    """Adds the digests that the file lacks; what it has stays as it is."""
    kept = recorded() if FILE.exists() else {"revision": REVISION, QUICK: {}, FULL: {}}
    added = 0
    for form in (QUICK, FULL):
        for name, digest in cases(form).items():
            if name not in kept[form]:
                kept[form][name] = digest()
                added += 1
    FILE.write_text(json.dumps(kept, indent=1) + "\n")
    return {"revision": kept["revision"], "added": added}


def measure(quick, record_missing=False, smoke=False):
    if record_missing:
        return record()
    form = QUICK if quick or smoke else FULL
    kept = recorded()
    apart = differences(kept[form], cases(form))
    for name, why in apart.items():
        print(f"{name}: {why}", flush=True)
    return {"revision": kept["revision"], "digests": len(kept[form]), "apart": len(apart)}
