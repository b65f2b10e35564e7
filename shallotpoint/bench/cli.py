"""The ``bench`` command: a registry of measurements."""

from __future__ import annotations

import argparse
from collections.abc import Callable

BENCHES: dict[str, Callable[[argparse.Namespace], int]] = {}


def register(name: str):
    """Return a decorator that adds a measurement under a name."""

    def add(run: Callable[[argparse.Namespace], int]):
        BENCHES[name] = run
        return run

    return add


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of all measurements."""
    parser.add_argument("name", nargs="?", default="all")
    parser.add_argument("--workload", default="nordvik")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policy", default="current")
    parser.add_argument("--final", action="store_true", help="use the kept seeds")
    parser.add_argument("--plot", metavar="FILE.png")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Run one measurement or all of them."""
    from shallotpoint.bench import fleet, policy_bench, relay, targets  # noqa: F401

    for name, bench in BENCHES.items():
        if args.name in (name, "all"):
            bench(args)
    return 0
