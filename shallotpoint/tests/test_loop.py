"""The event loop: each descriptor of a connection is closed once.

A connect that is cancelled must not leave a socket object that still names the
descriptor which the transport has closed.  The number soon belongs to another
connection, which would then be closed too, or used by two transports.
"""

import asyncio
import contextlib
import functools
import gc
import os
import socket
import time

import aiohttp
from multidict import CIMultiDict

from shallotpoint.loop import run_loop
from shallotpoint.testing.cases import TestCase
from shallotpoint.upstreams import bound
from shallotpoint.upstreams.bound import PerUpstreamClient
from shallotpoint.upstreams.client import Timeouts, UpstreamClient, UpstreamRequest

CONNECTS = 3
SEND_TIMEOUT_S = 0.1


@contextlib.asynccontextmanager
async def silent_server():
    """Accept connections and answer nothing; yield the address."""
    writers = []

    async def accept(reader, writer):
        writers.append(writer)
        with contextlib.suppress(ConnectionError):
            await reader.read()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
        for writer in writers:
            writer.close()


class RecordedSockets:
    """Records sockets that are collected with a descriptor, as these close it."""

    def __init__(self, case):
        self.left = []
        record = self

        class Recorded(socket.socket):
            def __del__(self):
                if self.fileno() >= 0:
                    record.left.append(self.fileno())

        case.patch(socket, "socket", Recorded)


class CreateConnectionTests(TestCase):
    run_loop = staticmethod(run_loop)

    async def connect(self, address):
        host, _, port = address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        return sock

    def test_cancel_leaves_no_descriptor_in_the_socket(self):
        # Guards against review case 1: the second close hit another connection.
        async def main():
            loop = asyncio.get_running_loop()
            async with silent_server() as address:
                sock = await self.connect(address)
                number = sock.fileno()
                task = loop.create_task(
                    loop.create_connection(asyncio.Protocol, sock=sock)
                )
                await asyncio.sleep(0)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                other = os.open(os.devnull, os.O_RDONLY)  # takes the lowest free number
                try:
                    self.assertEqual(number, other)
                    sock.close()
                    os.fstat(other)
                finally:
                    os.close(other)

        self.run_async(main())

    def test_transport_owns_the_descriptor_and_closes_it(self):
        async def main():
            loop = asyncio.get_running_loop()
            async with silent_server() as address:
                sock = await self.connect(address)
                number = sock.fileno()
                transport, _ = await loop.create_connection(asyncio.Protocol, sock=sock)
                self.assertEqual(-1, sock.fileno())
                os.fstat(number)
                self.assertEqual(number, transport.get_extra_info("socket").fileno())
                transport.close()
                await asyncio.sleep(0.01)
                with self.assertRaises(OSError):
                    os.fstat(number)

        self.run_async(main())

    def test_socket_stays_the_callers_if_no_transport_is_opened(self):
        def fail():
            raise ValueError("no protocol")

        async def main():
            loop = asyncio.get_running_loop()
            async with silent_server() as address:
                sock = await self.connect(address)
                with sock, self.assertRaises(ValueError):
                    await loop.create_connection(fail, sock=sock)
                self.assertEqual(-1, sock.fileno())

        self.run_async(main())


class InterruptedConnectCase(TestCase):
    """A test of an HTTP client that is interrupted as it makes a transport."""

    run_loop = staticmethod(run_loop)

    def setUp(self):
        super().setUp()
        self.sockets = RecordedSockets(self)

    async def interrupt_connects(self, interrupt, send):
        """Call ``send(address)``; ``interrupt(task)`` as it makes a transport."""
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection
        made = 0

        async def create_interrupted(*args, **options):
            nonlocal made
            made += 1
            interrupt(asyncio.current_task())
            return await create_connection(*args, **options)

        async with silent_server() as address:
            loop.create_connection = create_interrupted
            try:
                for _ in range(CONNECTS):
                    task = asyncio.create_task(send(address))
                    await asyncio.gather(task, return_exceptions=True)
            finally:
                del loop.create_connection
        self.assertEqual(CONNECTS, made)

    def check(self, main):
        """Run a coroutine; no socket may be collected with a descriptor."""
        self.run_async(main)
        gc.collect()
        self.assertEqual([], self.sockets.left)


class InterruptedConnectTests(InterruptedConnectCase):
    def check_attempts(self, interrupt, *, repeatable):
        async def main():
            client = PerUpstreamClient()
            await self.interrupt_connects(
                interrupt, functools.partial(send_once, client, repeatable)
            )
            await client.close()

        self.check(main())

    def test_cancelled_attempt(self):
        # Guards against review case 1 where a caller leaves, another attempt has taken
        # over or the router stops.
        self.check_attempts(asyncio.Task.cancel, repeatable=False)

    def test_cancelled_attempt_with_kept_connections(self):
        # Guards against review case 1 where the connection was to be kept.
        self.check_attempts(asyncio.Task.cancel, repeatable=True)

    def test_connect_timeout(self):
        # Guards against review case 1 where the connect timeout strikes.
        self.patch(bound, "CONNECT_TIMEOUT_S", 0.05)
        self.check_attempts(lambda _: time.sleep(0.06), repeatable=False)

    def test_time_limit_of_the_response(self):
        # Guards against review case 1 where the time of the request ends.
        self.check_attempts(lambda _: time.sleep(SEND_TIMEOUT_S), repeatable=False)

    def test_closed_connections_of_an_upstream(self):
        # Guards against review case 1 where a change of the configuration closes an
        # upstream's connections as they are set up.
        async def main():
            client = PerUpstreamClient()
            await self.interrupt_connects(
                lambda _: client.close_except(()),
                functools.partial(send_once, client, True),
            )
            await client.close()

        self.check(main())

    def test_client_that_pools_by_address(self):
        # Guards against review case 1 in chats, calls of services and load reports.
        async def main():
            client = UpstreamClient(timeouts=Timeouts())
            await self.interrupt_connects(
                asyncio.Task.cancel,
                lambda address: client.get_json(address, "/", timeout_s=1.0),
            )
            await client.close()

        self.check(main())

    def test_plain_session(self):
        # Guards against review case 1 in sessions with aiohttp's own connector.
        async def main():
            async with aiohttp.ClientSession() as session:

                async def send(address):
                    async with session.get(f"http://{address}/"):
                        pass

                await self.interrupt_connects(asyncio.Task.cancel, send)

        self.check(main())


async def send_once(client, repeatable, address):
    outgoing = UpstreamRequest("GET", "/", CIMultiDict(), b"")
    async with client.send(
        "u1", address, outgoing, repeatable=repeatable, timeout_s=SEND_TIMEOUT_S
    ):
        pass
