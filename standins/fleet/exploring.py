"""Bounded exhaustive exploration: runs all interleavings of a small instance to a depth.

An instance lists its `possible()` steps, executes one by `step(what, given)`, returns its `state()` as text, and raises
if an invariant is violated. It is copied by pickle.
"""

import argparse
import json
import pickle
import time
from hashlib import blake2b


def explore_to_depth(first, depth):
    """Return the number of distinct states reached within `depth` steps."""
    seen, frontier = set(), [pickle.dumps(first)]
    for _ in range(depth):
        next_frontier = []
        for packed in frontier:
            for step in pickle.loads(packed).possible():
                successor = pickle.loads(packed)
                successor.step(*step)
                state = blake2b(successor.state().encode(), digest_size=16).digest()
                if state not in seen:
                    seen.add(state)
                    next_frontier.append(pickle.dumps(successor))
        frontier = next_frontier
    return len(seen)


def main(arguments, name, text, make_instance, depth, **flags):
    """Run an explorer from the command line.

    `make_instance(options)` returns the initial instance; `flags`: name -> help text of each switch.
    """
    parser = argparse.ArgumentParser(prog=f"python -m standins.fleet.{name}", description=text.split("\n")[0])
    parser.add_argument("--depth", type=int, default=depth)
    for flag, help_text in flags.items():
        parser.add_argument(f"--{flag}", action="store_true", help=help_text)
    options, started_at = parser.parse_args(arguments), time.monotonic()
    print(
        json.dumps(
            {
                "states": explore_to_depth(make_instance(options), options.depth),
                "depth": options.depth,
                "seconds": round(time.monotonic() - started_at, 1),
            }
        )
    )
