"""All interleavings of a small instance to a depth: one loop for all that are explored.

An instance gives `possible()` steps, does one by `step(what, given)`, tells its `state()`, and raises where a promise
breaks; it is copied by pickle.
"""

import argparse
import json
import pickle
import time
from hashlib import blake2b


def explored(first, depth):
    """How many states were reached."""
    seen, edge = set(), [pickle.dumps(first)]
    for _ in range(depth):
        fresh = []
        for packed in edge:
            for step in pickle.loads(packed).possible():
                one = pickle.loads(packed)
                one.step(*step)
                state = blake2b(one.state().encode(), digest_size=16).digest()
                if state not in seen:
                    seen.add(state)
                    fresh.append(pickle.dumps(one))
        edge = fresh
    return len(seen)


def main(given, name, text, made, depth, **flags):
    """The command of one explorer: `made(wanted)` gives the first instance; `flags`: name -> help of each switch."""
    parser = argparse.ArgumentParser(prog=f"python -m standins.fleet.{name}", description=text.split("\n")[0])
    parser.add_argument("--depth", type=int, default=depth)
    for flag, told in flags.items():
        parser.add_argument(f"--{flag}", action="store_true", help=told)
    wanted, begun = parser.parse_args(given), time.monotonic()
    print(
        json.dumps(
            {
                "states": explored(made(wanted), wanted.depth),
                "depth": wanted.depth,
                "seconds": round(time.monotonic() - begun, 1),
            }
        )
    )
