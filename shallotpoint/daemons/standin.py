"""One stand-in on its own."""

from __future__ import annotations

import argparse
import contextlib
from collections.abc import AsyncIterator

from shallotpoint.daemons.demo import crasher
from shallotpoint.httpd import HttpServer
from shallotpoint.standins.engine import EngineStandin
from shallotpoint.standins.hosts import HostListStandin
from shallotpoint.standins.kv import KeyValueStandin
from shallotpoint.standins.service import ServiceStandin
from shallotpoint.standins.timing import EngineTiming


@contextlib.asynccontextmanager
async def running(args: argparse.Namespace) -> AsyncIterator[HttpServer]:
    """Serve the stand-in that the arguments name."""
    standin = _make(args)
    server = HttpServer(standin.app, host=args.host, port=args.port)
    if isinstance(standin, EngineStandin | ServiceStandin):
        standin.crash = crasher(server)
    await server.start()
    try:
        yield server
    finally:
        await server.stop(grace_s=1.0)


def _make(args: argparse.Namespace):
    if args.kind == "kv":
        return KeyValueStandin(seed=args.seed)
    if args.kind == "hosts":
        return HostListStandin()
    if args.kind == "service":
        return ServiceStandin()
    token_s = args.token_ms / 1_000
    return EngineStandin(
        models=tuple(args.models.split(",")),
        timing=EngineTiming(
            slots=args.slots,
            token_s=token_s,
            batch_extra_s=0.0 if args.flat else token_s / 10,
        ),
        checks_fence=not args.ignore_fence,
    )
