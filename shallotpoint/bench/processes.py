"""Processes of a bench: start, cost and end."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from shallotpoint.hashing import hash_key
from shallotpoint.operators.client import send_command
from shallotpoint.types import Seconds

TOKEN = "bench-operator-token-0123456789"
KEY = "bench-organisation-key"
_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")


@dataclass(slots=True)
class Process:
    """One process of a bench."""

    popen: subprocess.Popen
    url: str = ""

    def cpu_s(self) -> Seconds:
        """Return the processor time used so far, in seconds."""
        stat = Path(f"/proc/{self.popen.pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) * _TICK_S

    def resident_bytes(self) -> int:
        """Return the resident size."""
        statm = Path(f"/proc/{self.popen.pid}/statm").read_text()
        return int(statm.split()[1]) * _PAGE

    def stop(self) -> int:
        """End the process as a planned stop does; return its exit code."""
        self.popen.send_signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout=20)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


@contextlib.contextmanager
def process(*arguments: str, announces: bool = True) -> Iterator[Process]:
    """Run ``python -m ARGUMENTS`` for the length of a ``with`` block."""
    popen = subprocess.Popen(
        [sys.executable, "-m", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    made = Process(popen)
    try:
        if announces:
            assert popen.stdout is not None
            made.url = json.loads(popen.stdout.readline())["url"]
        yield made
    finally:
        if popen.poll() is None:
            made.stop()


@contextlib.contextmanager
def standin(kind: str, *arguments: str) -> Iterator[Process]:
    """Run a stand-in."""
    with process("shallotpoint.cli", "standin", kind, *arguments) as made:
        yield made


def settings_text(
    name: str, kv: str, hosts: str, ports: tuple[int, int, int], *, more: str = ""
) -> str:
    """Return the settings of a router on loopback."""
    return f"""
[router]
name = "{name}"
data_centre = "dc-1"
[listen]
callers = "127.0.0.1:{ports[0]}"
operators = "127.0.0.1:{ports[1]}"
peers = "127.0.0.1:{ports[2]}"
[platform]
kv = "{kv}"
hosts = "{hosts}"
host_lag_s = 0.2
host_poll_s = 0.5
[peers]
key = "bench-shared-key-0123456789"
[[operators]]
name = "bench"
token_sha256 = "{hash_key(TOKEN)}"
role = "change"
[log]
level = "error"
[stop]
balancer_delay_s = 0.1
{more}
"""


@contextlib.contextmanager
def router(
    name: str, kv: str, hosts: str, ports: tuple[int, int, int]
) -> Iterator[Process]:
    """Run a router; it is up when its health page answers."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "router.toml"
        path.write_text(settings_text(name, kv, hosts, ports))
        with process(
            "shallotpoint.cli", "router", "--config", str(path), announces=False
        ) as made:
            made.url = f"http://127.0.0.1:{ports[0]}"
            yield made


async def operate(session: aiohttp.ClientSession, port: int, command: str) -> dict:
    """Give one operator command."""
    return await send_command(session, f"http://127.0.0.1:{port}", TOKEN, command)


async def wait_up(
    session: aiohttp.ClientSession, url: str, path: str, *, timeout_s: Seconds = 15.0
) -> None:
    """Return once a page answers 200."""

    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        try:
            async with session.get(url + path) as resp:
                if resp.status == 200:
                    return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.05)
    raise TimeoutError(f"{url}{path} does not answer")
