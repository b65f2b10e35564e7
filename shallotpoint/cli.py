"""The command line."""

from __future__ import annotations

import argparse
import asyncio
import fileinput
import json
import os
import sys
from collections.abc import Sequence

from shallotpoint.loop import run_loop, stop_signal

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command; return its exit code."""
    args = _parser().parse_args(argv)
    return args.run(args)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="shallotpoint",
        description="Router for language-model traffic with service levels.",
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_router(commands)
    _add_check(commands)
    _add_operate(commands)
    _add_logs(commands)
    _add_explain(commands)
    _add_standin(commands)
    _add_demo(commands)
    _add_bench(commands)
    return parser


def _add_router(commands) -> None:
    parser = commands.add_parser("router", help="run the daemon of an entry host")
    parser.add_argument("--config", required=True, metavar="FILE.toml")
    parser.set_defaults(run=_run_router)


def _add_check(commands) -> None:
    parser = commands.add_parser("check", help="validate a settings file")
    parser.add_argument("file", metavar="FILE.toml")
    parser.set_defaults(run=_run_check)


def _add_operate(commands) -> None:
    parser = commands.add_parser("operate", help="give an operator command")
    parser.add_argument("--at", default="http://127.0.0.1:8081", metavar="URL")
    parser.add_argument(
        "--token",
        default=os.environ.get("SHALLOTPOINT_TOKEN", ""),
        help="operator token; by default from SHALLOTPOINT_TOKEN",
    )
    parser.add_argument("--ca", help="authority that the router's certificate is from")
    parser.add_argument("--json", action="store_true", help="print the JSON answer")
    parser.add_argument("command", nargs="?", metavar="COMMAND")
    parser.set_defaults(run=_run_operate)


def _add_logs(commands) -> None:
    parser = commands.add_parser("logs", help="read the logs of routers")
    verbs = parser.add_subparsers(required=True, metavar="VERB")
    explain = verbs.add_parser("explain", help="tell the course of one request")
    explain.add_argument("request", metavar="ID")
    explain.add_argument("files", nargs="*", metavar="FILE", help="default: the input")
    explain.set_defaults(run=_run_explain)


def _add_explain(commands) -> None:
    parser = commands.add_parser("explain", help="tell what a router would decide")
    subjects = parser.add_subparsers(required=True, metavar="SUBJECT")
    route = subjects.add_parser(
        "route", help="tell where a request would go now; nothing is sent upstream"
    )
    route.add_argument(
        "--at",
        required=True,
        metavar="URL",
        help="metrics address of a router, as http://127.0.0.1:9464",
    )
    route.add_argument("--method", default="POST")
    route.add_argument("--host", required=True, help="Host header of the request")
    route.add_argument("--path", required=True)
    caller = route.add_mutually_exclusive_group()
    caller.add_argument("--organisation", metavar="NAME")
    caller.add_argument(
        "--key-file",
        type=argparse.FileType(),
        metavar="FILE",
        help="file with the API key, - for the input",
    )
    route.add_argument("--id", default="explain", help="id of the request")
    route.add_argument(
        "--part",
        action="append",
        default=[],
        metavar="ID:TOKENS",
        help="a part of the prompt, in order; the last one is the request's own",
    )
    route.add_argument("--prompt-tokens", type=int, metavar="N")
    route.add_argument("--output-tokens", type=int, default=0, metavar="N")
    route.add_argument("--size", type=int, default=0, metavar="BYTES")
    route.add_argument("--time-left", type=float, metavar="SECONDS")
    route.add_argument("--json", action="store_true", help="print the JSON answer")
    route.set_defaults(run=_run_explain_route)


def _add_standin(commands) -> None:
    parser = commands.add_parser("standin", help="run one stand-in")
    parser.add_argument("kind", choices=("kv", "hosts", "engine", "service"))
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--models", default="standin", help="engine: names")
    parser.add_argument("--slots", type=int, default=8, help="engine: batch size")
    parser.add_argument("--token-ms", type=float, default=10.0, help="engine: pace")
    parser.add_argument(
        "--flat", action="store_true", help="engine: the batch costs no time"
    )
    parser.add_argument(
        "--ignore-fence", action="store_true", help="engine: take any order"
    )
    parser.set_defaults(run=_run_standin)


def _add_demo(commands) -> None:
    parser = commands.add_parser("demo", help="routers and stand-ins on loopback")
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument("--services", type=int, default=1)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--base-port", type=int, default=0)
    parser.add_argument("--requests", type=int, default=240)
    parser.add_argument("--hold", action="store_true", help="serve until SIGTERM")
    parser.set_defaults(run=_run_demo)


def _add_bench(commands) -> None:
    from shallotpoint.bench import cli as bench_cli

    parser = commands.add_parser("bench", help="measure; prints JSON lines")
    bench_cli.add_arguments(parser)


def _run_check(args) -> int:
    return EXIT_OK if _load(args.file) is not None else EXIT_USAGE


def _load(path: str):
    """Return settings, or None after printing each fault."""
    from shallotpoint.settings import load_settings

    try:
        return load_settings(path)
    except* Exception as group:
        for exc in group.exceptions:
            print(exc, file=sys.stderr)
    return None


def _run_router(args) -> int:
    from shallotpoint.daemons.router import Router
    from shallotpoint.logs import set_up_logging

    settings = _load(args.config)
    if settings is None:
        return EXIT_USAGE
    set_up_logging(settings.log.level, router=settings.router.name)

    async def serve() -> int:
        stop = stop_signal()
        async with Router(settings).running() as router:
            await stop.wait()
            await router.stop()
        return EXIT_OK

    return run_loop(serve())


def _run_operate(args) -> int:
    from shallotpoint.operators import client

    return run_loop(
        client.operate(args.at, args.token, args.command, as_json=args.json, ca=args.ca)
    )


def _run_explain(args) -> int:
    from shallotpoint.operators.logs import explain, read_lines

    lines = []
    try:
        with fileinput.input(args.files or ["-"]) as raw_lines:
            lines = read_lines(raw_lines)
    except OSError as exc:
        print(f"{exc.filename}: {exc.strerror}", file=sys.stderr)
        return EXIT_USAGE
    told = explain(lines, args.request)
    if not told:
        print(f"no line names the request {args.request}", file=sys.stderr)
        return EXIT_FAILED
    print("\n".join(told))
    return EXIT_OK


def _run_explain_route(args) -> int:
    from shallotpoint.operators import explain_route

    try:
        described = explain_route.describe(args)
    except ValueError as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE
    return run_loop(explain_route.ask(args.at, described, as_json=args.json))


def _run_standin(args) -> int:
    from shallotpoint.daemons import standin
    from shallotpoint.logs import set_up_logging

    set_up_logging("warning")

    async def serve() -> int:
        stop = stop_signal()
        async with standin.running(args) as server:
            print(json.dumps({"url": server.url}), flush=True)
            await stop.wait()
        return EXIT_OK

    return run_loop(serve())


def _run_demo(args) -> int:
    from shallotpoint.daemons.demo import FleetPlan, fleet, run_load
    from shallotpoint.logs import set_up_logging

    set_up_logging("info" if args.hold else "warning")
    plan = FleetPlan(
        routers=args.routers,
        engines=args.engines,
        services=args.services,
        seed=args.seed,
        base_port=args.base_port,
    )

    async def serve() -> int:
        stop = stop_signal()
        async with fleet(plan) as made:
            if args.hold:
                print(json.dumps(made.describe()), flush=True)
                await stop.wait()
                await asyncio.gather(*(r.stop() for r in made.routers))
                return EXIT_OK
            summary = await run_load(made, requests=args.requests, seed=args.seed)
        _print_summary(summary, plan)
        good = summary["whole"] + summary["refused"] == summary["requests"]
        return EXIT_OK if good else EXIT_FAILED

    return run_loop(serve())


def _print_summary(summary: dict, plan) -> None:
    print(
        f"{plan.routers} routers, {plan.engines} engines, {plan.services} services, "
        f"seed {plan.seed}"
    )
    for name, value in summary.items():
        print(f"  {name:12} {value}")


if __name__ == "__main__":
    sys.exit(main())
