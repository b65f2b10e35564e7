"""A small deployment for the review's cases: store, servers, routers and clients.

The store is the project's stand-in and the routers are started with the command of the
deploy file, each as a process of its own.  Servers and clients are stand-ins in the
process of the case.  All addresses are loopback addresses.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "review.example"
# The bounds of the small sites that the users' pages describe.
BOUNDS = {
    "revoke-ms": 5000,
    "grace-s": 8,
    "retry-budget-ratio": 0.2,
    "budget-slack": 58,
    "budget-window-s": 10,
}
HEARTBEAT_S = 1.2
READY_WITHIN_S = 20.0
EXIT_HELD, EXIT_BROKEN, EXIT_CANNOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt``, a JSON line each."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def now(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self._started_s

    def add(self, what: str, **facts) -> None:
        """Add a line with the time since the start."""
        line = {"t": round(self.now(), 3), "what": what, **facts}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


@dataclasses.dataclass
class Message:
    """A request or a response, as read from a connection."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split()[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first_line.split()[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


@dataclasses.dataclass
class Arrival:
    """A request at a server, with the connection to answer on."""

    server: "Server"
    message: Message
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def id(self) -> str:
        """The id of the client's attempt."""
        return self.message.headers.get("x-shallotpoint-attempt-id", "")

    def head(self, status: str, extra: str = "") -> bytes:
        """Return an answer's head with the id and the signature."""
        return (
            f"HTTP/1.1 {status}\r\n"
            f"X-Shallotpoint-Attempt-Id: {self.id}\r\n"
            f"X-Shallotpoint-Server-Signature: {self.server.name}.{self.id}\r\n"
            f"{extra}\r\n"
        ).encode()

    async def send(self, data: bytes) -> None:
        """Write bytes to the router."""
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, status: str, body: bytes = b"", extra: str = "") -> None:
        """Write a whole answer."""
        extra += f"Content-Length: {len(body)}\r\n"
        await self.send(self.head(status, extra) + body)

    async def send_chunk(self, data: bytes) -> None:
        """Write one chunk of a chunked answer."""
        await self.send(b"%x\r\n%s\r\n" % (len(data), data))

    def reset(self) -> None:
        """Reset the connection."""
        reset(self.writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


Handler = Callable[[Arrival], Awaitable[None]]


class Server:
    """A stand-in for one server; ``handler`` runs each request that is meant for it."""

    def __init__(self, name: str, service: str, handler: Handler, slots: int = 64):
        self.name, self.service, self.slots = name, service, slots
        self.handler = handler
        self.address = ""
        self.born = time.time_ns() // 1_000_000
        self.seq = 0
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def entry(self, state: str = "ready") -> dict:
        """Return the server's entry in the store."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-1",
            "version": "1",
            "slots": self.slots,
            "state": state,
            "cold-left-ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def _serve(self, reader, writer) -> None:
        try:
            while (message := await read_head(reader)) is not None:
                length = int(message.headers.get("content-length", 0))
                message.body = await reader.readexactly(length)
                arrival = Arrival(self, message, reader, writer)
                meant = message.headers.get("x-shallotpoint-expect-instance")
                if meant not in (None, self.name):
                    await arrival.answer("421 Misdirected Request")
                    continue
                await self.handler(arrival)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Process:
    """A child process; its output goes to a file in the temporary folder.

    The folder is removed at the end, unless ``KEEP_LOGS`` is set.
    """

    def __init__(self, name: str, command: list[str], env: dict, folder: Path):
        self.name, self._command, self._env = name, command, env
        self._log = folder / f"{name}.log"
        self.proc: asyncio.subprocess.Process | None = None

    async def start(self, *, stdin=None, stdout=None) -> None:
        """Start the process at the project's root."""
        with self._log.open("ab") as log:
            self.proc = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=self._env,
                stdin=stdin or asyncio.subprocess.DEVNULL,
                stdout=stdout or log,
                stderr=log,
            )

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self.proc is not None and self.proc.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is alive."""
        if self.is_alive:
            self.proc.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.is_alive:
            self.signal(signal.SIGKILL)
            await self.proc.wait()


def render_template(text: str, fields: dict) -> str:
    """Fill in the placeholders of a settings template."""

    def value(match: re.Match) -> str:
        found = fields
        for name in match[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found.get(name)
            if found is None:
                return ""
        return str(found)

    return re.sub(r"\{\{([a-z0-9.-]+)\}\}", value, text)


def free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address.

    They lie below the ports of outgoing connections, which could take one of them
    before a process listens on it.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.SystemRandom().randrange(10_000, 32_000)
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            found.append(port)
    return found


class Deployment:
    """The processes and stand-ins of one case."""

    def __init__(self, folder: Path):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.routers: dict[str, Process] = {}
        self.servers: dict[str, Server] = {}
        self.callers: dict[str, str] = {}
        self.ready_addresses: dict[str, str] = {}
        self.bounds = dict(BOUNDS)
        self.version = 0
        self._store: Process | None = None
        self._store_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task] = set()
        self._state: dict[str, str] = {}
        self._sent = 0
        self.store_address = ""
        self._fields: dict[str, dict] = {}

    # Processes

    async def start_store(self) -> None:
        """Start the project's stand-in for the platform's store."""
        self.store_address = f"127.0.0.1:{free_ports(1)[0]}"
        folders = (
            ROOT / "target/deps",
            ROOT,
            ROOT / "platform",
            ROOT / "platform/tests",
        )
        env = {**_environment(), "PYTHONPATH": ":".join(map(str, folders))}
        command = ["python3", "-m", "soak.store", "--address", self.store_address]
        self._store = Process("store", command, env, self.folder)
        pipe = asyncio.subprocess.PIPE
        await self._store.start(stdin=pipe, stdout=pipe)
        await self._store.proc.stdout.readline()

    async def command_store(self, **command) -> None:
        """Send a command to the store and wait until it is done."""
        async with self._store_lock:
            self._store.proc.stdin.write(json.dumps(command).encode() + b"\n")
            await self._store.proc.stdout.readline()

    async def put(self, key: str, value: str) -> None:
        """Write a key, as the operator or a server does."""
        await self.command_store(do="put", key=key, value=value)

    def make_settings(self, name: str) -> dict:
        """Return the fields that the platform fills into a router's template."""
        ports = free_ports(3)
        return {
            "node-name": name,
            "ip": "127.0.0.1",
            "zone": "zone-1",
            "listen": {
                "frontend": f"127.0.0.1:{ports[0]}",
                "ready": f"127.0.0.1:{ports[1]}",
            },
            "port-range": [ports[2], ports[2]],
            "platform": {"address": self.store_address},
            "bounds": self.bounds,
        }

    def write_settings(self, name: str) -> Path:
        """Write a router's settings file from the template; return its path."""
        template = (ROOT / "deploy/router.toml").read_text()
        text = render_template(template, self._fields[name])
        # The template has one fixed port, which routers on one machine cannot share.
        text = text.replace(
            f'"{self._fields[name]["ip"]}:9464"', f'"127.0.0.1:{free_ports(1)[0]}"'
        )
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return path

    async def start_router(self, name: str) -> Process:
        """Start a router with the command of the deploy file."""
        if name not in self._fields:
            self._fields[name] = self.make_settings(name)
        self.callers[name] = self._fields[name]["listen"]["frontend"]
        self.ready_addresses[name] = self._fields[name]["listen"]["ready"]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        env = {
            **_environment(),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SHALLOTPOINT_BOOT": str(self.write_settings(name)),
        }
        command = shlex.split(deploy["roles"]["router"]["run"])
        self.routers[name] = Process(name, command, env, self.folder)
        await self.routers[name].start()
        return self.routers[name]

    async def is_ready(self, name: str) -> bool:
        """Return whether a router answers its readiness check with 200."""
        try:
            answer = await request(
                self.ready_addresses[name], b"GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n"
            )
        except OSError:
            return False
        return answer is not None and answer.status == 200

    async def wait_ready(self, names=None) -> None:
        """Wait until routers are ready."""
        async with asyncio.timeout(READY_WITHIN_S):
            for name in names or self.routers:
                while not await self.is_ready(name):
                    await asyncio.sleep(0.05)

    async def close(self) -> None:
        """End all processes that were started."""
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.1)  # lets the cancelled tasks' connections close
        for process in [*self.routers.values(), self._store]:
            if process is not None:
                process.signal(signal.SIGCONT)
                await process.kill()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder)

    # The operator and the servers

    async def configure(self, routes: list[dict], services: list[dict], **more) -> None:
        """Write a configuration of the next version; return after the answer."""
        self.version += 1
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            **more,
        }
        await self.put("op/config", json.dumps(document))
        self.record.add("configuration", version=self.version)

    async def add_server(self, server: Server, proxy=None) -> None:
        """Start a server and write its entry, which changes with each heartbeat.

        A proxy in front of the server is started too, and its address is listed.
        """
        await server.start()
        if proxy is not None:
            await proxy.start(server.address)
            server.address = proxy.address
        self.servers[server.name] = server
        self._state[server.name] = "ready"
        await self.put_entry(server)
        self.start_task(self._beat(server))

    async def put_entry(self, server: Server) -> None:
        """Write a server's entry, as the server does."""
        entry = server.entry(self._state[server.name])
        await self.put(f"servers/{server.name}", json.dumps(entry))

    async def _beat(self, server: Server) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.put_entry(server)

    def start_task(self, coro) -> asyncio.Task:
        """Start a task that ends with the deployment at the latest."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        return task

    # Clients

    def next_id(self) -> str:
        """Return the id of a new attempt of a client."""
        self._sent += 1
        return f"a{self._sent:06d}"

    async def call(
        self,
        router: str,
        path: str,
        *,
        deadline_s: float,
        method: str = "POST",
        body: bytes = b"x" * 200,
        gap_s: float | None = None,
        headers: dict[str, str] | None = None,
        attempt: str = "",
    ) -> Message | None:
        """Send a request on a new connection; return the answer, None without one.

        Parameters
        ----------
        deadline_s : float
            Time that the client waits for the whole answer, sent as its deadline.
        gap_s : float, optional
            The client leaves after a pause of this length.
        """
        attempt = attempt or self.next_id()
        lines = {
            "Host": HOST,
            "X-Shallotpoint-Attempt-Id": attempt,
            "X-Shallotpoint-Deadline-Ms": str(int(deadline_s * 1000)),
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        raw = f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body
        self.record.add("sent", id=attempt, to=router, path=path)
        answer = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(deadline_s):
                answer = await request(self.callers[router], raw, gap_s=gap_s)
        self.record.add(
            "answered" if answer else "no answer",
            id=attempt,
            status=answer.status if answer else None,
            complete=bool(answer and answer.complete),
            bytes=len(answer.body) if answer else 0,
        )
        return answer


async def request(
    address: str, raw: bytes, *, gap_s: float | None = None
) -> Message | None:
    """Send a request on a new connection and read the answer to its end."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(raw)
        await writer.drain()
        async with _optional_timeout(gap_s):
            answer = await read_head(reader)
        if answer is not None:
            await read_body(reader, answer, gap_s)
        return answer
    finally:
        writer.close()


async def read_body(reader, answer: Message, gap_s: float | None) -> None:
    """Read an answer's body; a pause over ``gap_s`` raises TimeoutError."""
    answer.complete = False
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                async with _optional_timeout(gap_s):
                    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                    data = (await reader.readexactly(size + 2))[:-2]
                if not size:
                    answer.complete = True
                    return
                answer.body += data
        elif "content-length" in answer.headers:
            size = int(answer.headers["content-length"])
            answer.body = await reader.readexactly(size)
            answer.complete = True
        else:
            answer.body = await reader.read()
            answer.complete = True


def _optional_timeout(seconds: float | None):
    return asyncio.timeout(seconds)


def _environment() -> dict[str, str]:
    kept = ("PATH", "HOME", "LANG")
    return {name: os.environ[name] for name in kept if name in os.environ}


def play(folder: Path, case: Callable[[Deployment], Awaitable[str | None]]) -> int:
    """Play a case and return its exit code; the case returns how the rule broke."""

    async def run() -> int:
        deployment = Deployment(folder)
        try:
            async with asyncio.timeout(115.0):
                broken = await case(deployment)
        except Exception as exc:
            deployment.record.add("the case could not run", reason=repr(exc))
            print(f"the case could not run: {exc!r}")
            return EXIT_CANNOT_RUN
        finally:
            await deployment.close()
        deployment.record.add("verdict", broken=broken)
        print(broken or "the rule held")
        return EXIT_BROKEN if broken else EXIT_HELD

    return asyncio.run(run())


def main(path: str, case: Callable[[Deployment], Awaitable[str | None]]) -> None:
    """Play the case of a script's folder and exit."""
    sys.exit(play(Path(path).resolve().parent, case))
