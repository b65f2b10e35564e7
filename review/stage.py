"""A small deployment on loopback addresses for the cases from 6 on.

It starts routers with the build and run commands of the deploy file and settings that
are filled in from its template, the project's stand-in of the store, and small HTTP
servers and clients of its own.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import uuid
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "platform/tests"), str(ROOT / "platform"), str(ROOT)]
sys.dont_write_bytecode = True

from standin_store import ConnectionCut, StandinStore  # noqa: E402

from shallotpoint.coordination.kv import Delete, Put  # noqa: E402
from shallotpoint.httpd import CrashToCut, HttpServer  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
READY_LIMIT_S = 20.0
METRICS_PORT = 9464  # fixed by the template
FIRST_PORT = 13_000  # below the ports of outgoing connections
SIGNATURE = "X-Shallotpoint-Server-Signature"
REQUEST_ID = "X-Shallotpoint-Attempt-Id"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The bounds of sites/nordvik-styltenet and sites/carrowbrook-tally, but for the slack.
BOUNDS = {
    "revoke-ms": 5000,
    "grace-s": 8,
    "retry-budget-ratio": 0.2,
    "budget-slack": 54,
    "budget-window-s": 10,
    "drain-ms": 2000,
}

_taken_ports: set[int] = set()
_taken_ips: set[str] = set()


def free_port() -> int:
    """Return a free port below those of outgoing connections."""
    port = FIRST_PORT + os.getpid() % 400 * 40
    while True:
        port = FIRST_PORT + (port - FIRST_PORT + 1) % 16_000
        if port in _taken_ports:
            continue
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            _taken_ports.add(port)
            return port


def free_ip(port: int) -> str:
    """Return a loopback address at which a fixed port is free."""
    for last in range(2, 250):
        ip = f"127.0.{1 + os.getpid() % 250}.{last}"
        if ip in _taken_ips:
            continue
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((ip, port))
            _taken_ips.add(ip)
            return ip
    raise RuntimeError(f"port {port} is taken at all addresses")


def fill_in(template: str, fields: dict[str, object]) -> str:
    """Fill in a settings template as the platform does."""
    section = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
    while section.search(template):
        template = section.sub(lambda m: m[2] if m[1] in fields else "", template)
    return re.sub(r"\{\{(.+?)\}\}", lambda m: str(fields[m[1]]), template)


@dataclass
class Answer:
    """What a client got; status 0 for a connection that ended without a status."""

    request: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    sent_s: float = 0.0
    ended_s: float = 0.0


class Stage:
    """The processes and stand-ins of one run, and its record.

    Parameters
    ----------
    folder : Path
        Where ``record.txt`` is written.
    """

    def __init__(self, folder: Path):
        self.started_s = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self._stack = contextlib.AsyncExitStack()
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["router"]
        self.store = StandinStore()
        self.routers: dict[str, Router] = {}
        self.version = 0

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started_s

    def note(self, text: str) -> None:
        """Write a line to the record, with the time since the start."""
        self._record.write(f"{self.now:8.3f} {text}\n")
        self._record.flush()

    async def __aenter__(self) -> Stage:
        return self

    async def __aexit__(self, *_: object) -> None:
        for router in self.routers.values():
            await router.kill()
        await self._stack.aclose()
        for path in self._folder.iterdir():
            path.unlink()
        self._folder.rmdir()
        self._record.close()

    # The platform

    async def start_store(self, app: object | None = None) -> str:
        """Serve the store; return its address."""
        server = HttpServer.at(
            f"127.0.0.1:{free_port()}", CrashToCut(app or self.store, ConnectionCut)
        )
        await server.start()
        self._stack.push_async_callback(server.stop, grace_s=0.2)
        return server.address

    def write(self, key: str, value: object) -> None:
        """Write a key as the operator or a server does."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.store.store.txn([], [Put(key, raw)])

    def remove(self, key: str) -> None:
        """Remove a key as the operator or a server does."""
        self.store.store.txn([], [Delete(key)])

    def write_config(
        self, routes: list[dict], services: list[dict], keys: tuple[str, ...] = (KEY,)
    ) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        self.write(
            "op/config",
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": {
                    "max-header-bytes": 16384,
                    "max-body-bytes": 4194304,
                    "header-timeout-ms": 3000,
                    "idle-timeout-ms": 15000,
                },
                "tenants": [{"name": TENANT, "api-keys": list(keys), "priority": 1}],
            },
        )
        self.note(f"operator: version {self.version} is acknowledged")

    def list_server(
        self,
        name: str,
        service: str,
        address: str,
        *,
        born: int,
        state: str = "ready",
        slots: int = 64,
    ) -> None:
        """Write a server's entry."""
        self.write(
            f"servers/{name}",
            {
                "service": service,
                "address": address,
                "zone": "brisbane",
                "version": "1",
                "slots": slots,
                "state": state,
                "cold-left-ms": 0,
                "seq": 1,
                "born": born,
            },
        )
        self.note(f"server {name}: listed as {state} at {address}")

    async def serve(self, handler) -> str:
        """Serve connections with a coroutine; return the address."""
        port = free_port()
        server = await asyncio.start_server(handler, "127.0.0.1", port, limit=1 << 20)

        async def close() -> None:
            server.close()

        self._stack.push_async_callback(close)
        return f"127.0.0.1:{port}"

    async def start_router(
        self,
        name: str,
        store: str,
        *,
        memory_mb: int = 300,
        max_fds: int = 4100,
        bounds: dict[str, object] | None = None,
    ) -> Router:
        """Start a router with the run command of the deploy file."""
        ports = [free_port() for _ in range(3)]
        ip = free_ip(METRICS_PORT)
        fields: dict[str, object] = {
            "node-name": name,
            "ip": ip,
            "zone": "brisbane",
            "listen.frontend": f"{ip}:{ports[0]}",
            "listen.ready": f"{ip}:{ports[1]}",
            "port-range.0": ports[2],
            "platform.address": store,
            "limits.memory-mb": memory_mb,
            "limits.max-fds": max_fds,
        }
        fields |= {f"bounds.{k}": v for k, v in {**BOUNDS, **(bounds or {})}.items()}
        text = fill_in((ROOT / self._role["template"]).read_text(), fields)
        settings = self._folder / f"{name}.toml"
        settings.write_text(text)
        router = Router(
            self,
            name,
            self._role["run"].split(),
            settings,
            self._folder / f"{name}.log",
        )
        router.callers, router.ready = f"{ip}:{ports[0]}", f"{ip}:{ports[1]}"
        self.routers[name] = router
        await router.start()
        return router

    async def wait_ready(self) -> None:
        """Wait until all routers answer 200 at their address for the balancer."""
        until_s = self.now + READY_LIMIT_S
        for router in self.routers.values():
            while not await router.is_ready():
                if self.now > until_s:
                    raise RuntimeError(f"{router.name} is not ready")
                await asyncio.sleep(0.1)
        self.note("all routers are ready")

    # Clients

    async def request(
        self,
        router: Router,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        deadline_ms: int = 3000,
        request: str | None = None,
        connection: tuple | None = None,
        key: str = KEY,
    ) -> Answer:
        """Send a request, by default on a connection of its own; return the answer."""
        answer = Answer(request or uuid.uuid4().hex[:16])
        answer.sent_s = self.now
        own = connection is None
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if connection is None:
                    ip, port = router.callers.split(":")
                    connection = await asyncio.open_connection(ip, int(port))
                reader, writer = connection
                lines = {
                    "Host": HOST,
                    REQUEST_ID: answer.request,
                    "X-Shallotpoint-Deadline-Ms": str(deadline_ms),
                    "X-Api-Key": key,
                    **(headers or {}),
                }
                if body or method == "POST":
                    lines["Content-Length"] = str(len(body))
                head = f"{method} {path} HTTP/1.1\r\n" + "".join(
                    f"{n}: {v}\r\n" for n, v in lines.items()
                )
                writer.write(head.encode("latin-1") + b"\r\n" + body)
                await read_answer(reader, answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            answer.ended_s = self.now
            if own and writer is not None:
                writer.close()
        return answer


class Router:
    """A router process."""

    def __init__(
        self, stage: Stage, name: str, command: list[str], settings: Path, log
    ):
        self.name = name
        self.callers = self.ready = ""
        self.log_path: Path = log
        self._stage = stage
        self._command = command
        self._settings = settings
        self._proc: asyncio.subprocess.Process | None = None
        self._pidfd = -1

    async def start(self) -> None:
        """Start the process, from the root of the repository."""
        env = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["SHALLOTPOINT_BOOT"] = str(self._settings)
        with self.log_path.open("ab") as log:
            self._proc = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._pidfd = os.pidfd_open(self._proc.pid)
        self._stage.note(f"router {self.name}: started")

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self._proc is not None and self._proc.returncode is None

    def memory_mb(self, name: str = "VmHWM") -> float:
        """Return the peak of the process's resident memory, in MB."""
        assert self._proc is not None
        for line in Path(f"/proc/{self._proc.pid}/status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) / 1024
        raise RuntimeError("no memory in the status of the process")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        signal.pidfd_send_signal(self._pidfd, number)
        self._stage.note(f"router {self.name}: {number.name}")

    async def kill(self) -> None:
        """Kill the process, if it runs."""
        if self.alive:
            assert self._proc is not None
            signal.pidfd_send_signal(self._pidfd, signal.SIGKILL)
            await self._proc.wait()

    async def is_ready(self) -> bool:
        """Return whether it answers 200 at its address for the balancer."""
        ip, port = self.ready.split(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def log_lines(self) -> list[dict]:
        """Return what the process has logged."""
        lines = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


@dataclass
class Request:
    """A request as a server read it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The id of the client's attempt."""
        return self.headers.get(REQUEST_ID.lower(), "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request with a content length; None at the connection's end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def answer_head(
    request: Request, status: int = 200, *, length: int | None = None, **more: str
) -> bytes:
    """Return the head of a server's answer."""
    lines = {REQUEST_ID: request.id, SIGNATURE: f"sig.{request.id}"}
    lines |= {name.replace("_", "-"): value for name, value in more.items()}
    if length is not None:
        lines["Content-Length"] = str(length)
    text = "".join(f"{n}: {v}\r\n" for n, v in lines.items())
    return f"HTTP/1.1 {status} X\r\n{text}\r\n".encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body; the last one for no data."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer into a record that is filled in as it comes."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    answer.status = int(first.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "content-length" in answer.headers:
        length = int(answer.headers["content-length"])
        while len(answer.body) < length:
            data = await reader.read(length - len(answer.body))
            if not data:
                return
            answer.body += data
        answer.complete = True
    elif answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                answer.complete = True
                return
            answer.body += data[:-2]
    else:
        while data := await reader.read(65_536):
            answer.body += data
        answer.complete = True


def decode_data(text: str) -> bytes:
    """Decode a value of the store's calls."""
    return base64.b64decode(text)


def run(main, folder: Path) -> None:
    """Run a case's coroutine function and exit with its result."""
    try:
        result = asyncio.run(_run(main, folder))
    except (Exception, asyncio.CancelledError) as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        result = COULD_NOT_RUN
    sys.exit(result)


async def _run(main, folder: Path) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):  # also then, end what was started
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(118.0):
        async with Stage(folder) as stage:
            stage.note(f"trouble: {'yes' if TROUBLE else 'no'}")
            result = await main(stage)
            stage.note(f"result: {'the rule was broken' if result else 'it held'}")
            return result
