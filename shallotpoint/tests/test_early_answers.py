"""Answers that come while their request's body is still on its way (real sockets)."""

import asyncio
import contextlib
import socket

from multidict import CIMultiDict

from shallotpoint.loop import run_loop
from shallotpoint.results import Result
from shallotpoint.testing.cases import TestCase
from shallotpoint.testing.scripted_upstream import reset_connection
from shallotpoint.upstreams.bound import PerUpstreamClient
from shallotpoint.upstreams.client import (
    Timeouts,
    UpstreamClient,
    UpstreamFailure,
    UpstreamRequest,
    read_response_body,
)

UPLOAD = b"u" * 1_500_000  # more than the server's side of a connection buffers
PART = b"x" * 60_000  # of an answer
HEADS = {
    "no length": b"HTTP/1.1 200 OK\r\n\r\n",
    "closing": b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\n",
}
TIME_LIMIT_S = 5.0


class EarlyServer:
    """Answers an upload at once, with a body that ends with the connection.

    Parameters
    ----------
    head : bytes
        Head of the answer; ``PART`` follows.
    end : Callable
        Ends the connection, given its socket and the event loop.
    upload_bytes : int
        Bytes of the upload that are read before the answer.
    """

    def __init__(self, head, end, *, upload_bytes=0):
        self.head = head
        self.end = end
        self.upload_bytes = upload_bytes

    @contextlib.asynccontextmanager
    async def serving(self):
        """Serve during a ``with`` block; yield the address."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        task = asyncio.create_task(self._accept(listener))
        try:
            yield "{}:{}".format(*listener.getsockname())
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            listener.close()

    async def _accept(self, listener):
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            while True:
                sock, _ = await loop.sock_accept(listener)
                sock.setblocking(False)
                group.create_task(self._answer(sock, loop))

    async def _answer(self, sock, loop):
        try:
            received = b""
            while b"\r\n\r\n" not in received or len(received) < self.upload_bytes:
                received += await loop.sock_recv(sock, 65_536)
            await loop.sock_sendall(sock, self.head + PART)
            await self.end(sock, loop)
        except OSError:
            pass
        finally:
            sock.close()


async def reset(sock, loop):
    reset_connection(sock)


async def reset_later(sock, loop):
    await asyncio.sleep(0.02)
    reset_connection(sock)


async def close_unread(sock, loop):
    sock.close()


async def end_then_read(sock, loop):
    sock.shutdown(socket.SHUT_WR)
    while await loop.sock_recv(sock, 65_536):
        pass


async def end_then_reset(sock, loop):
    sock.shutdown(socket.SHUT_WR)
    reset_connection(sock)


class EarlyAnswerCase(TestCase):
    run_loop = staticmethod(run_loop)  # the event loop of the daemons

    @contextlib.asynccontextmanager
    async def sending(self, address):
        """Send the upload; yield the response."""
        raise NotImplementedError

    def results(self, end, **options):
        """Return the length of each complete answer, or the result of its failure."""

        async def main():
            found = []
            for head in HEADS.values():
                server = EarlyServer(head, end, **options)
                async with server.serving() as address:
                    found.append(await self._result(address))
            return found

        return self.run_async(main())

    async def _result(self, address):
        try:
            async with self.sending(address) as resp:
                return len(await read_response_body(resp))
        except UpstreamFailure as exc:
            return exc.reason

    def check_resets(self):
        for end in (reset, reset_later, close_unread):
            for upload_bytes in (0, len(UPLOAD) // 2):
                self.assertEqual(
                    [Result.RETRY_BROKE] * len(HEADS),
                    self.results(end, upload_bytes=upload_bytes),
                    f"{end.__name__} after {upload_bytes} bytes",
                )

    def check_orderly_ends(self):
        self.assertEqual([len(PART)] * len(HEADS), self.results(end_then_read))


class OwnInterfaceTests(EarlyAnswerCase):
    @contextlib.asynccontextmanager
    async def sending(self, address):
        client = UpstreamClient(timeouts=Timeouts(answer_s=TIME_LIMIT_S))
        request = UpstreamRequest("POST", "/", {}, UPLOAD)
        try:
            async with client.send(address, request, repeatable=False) as resp:
                yield resp
        finally:
            await client.close()

    def test_mixed_answer_that_is_reset_in_an_upload_is_not_complete(self):
        # Guards against a part of an answer that callers of services get as the whole.
        self.check_resets()

    def test_answer_that_ends_with_its_connection_is_complete(self):
        self.check_orderly_ends()


class RouteTests(EarlyAnswerCase):
    @contextlib.asynccontextmanager
    async def sending(self, address):
        client = PerUpstreamClient()
        request = UpstreamRequest("POST", "/", CIMultiDict(), UPLOAD)
        try:
            async with client.send(
                "u1", address, request, repeatable=False, timeout_s=TIME_LIMIT_S
            ) as resp:
                yield resp
        finally:
            await client.close()

    def test_mixed_answer_that_is_reset_in_an_upload_is_not_complete(self):
        self.check_resets()

    def test_answer_that_ends_with_its_connection_is_complete(self):
        self.check_orderly_ends()
