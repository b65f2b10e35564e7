"""Answers that come while their request's body is still on its way (real sockets)."""

import asyncio
import contextlib
import socket
import ssl
import tempfile
import time
from pathlib import Path

from multidict import CIMultiDict

from shallotpoint.loop import run_loop
from shallotpoint.results import Result
from shallotpoint.testing.cases import TestCase
from shallotpoint.testing.scripted_upstream import reset_at_close, reset_connection
from shallotpoint.tests.test_daemon import write_certificate
from shallotpoint.upstreams.bound import PerUpstreamClient
from shallotpoint.upstreams.client import (
    Timeouts,
    UpstreamClient,
    UpstreamFailure,
    UpstreamRequest,
    read_response_body,
)
from shallotpoint.upstreams.connections import END_WAIT_S

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
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
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


async def end_without_reading(sock, loop):
    sock.shutdown(socket.SHUT_WR)
    await asyncio.sleep(2 * END_WAIT_S)


def end_then_reset(wait_s):
    async def end(sock, loop):
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(wait_s)
        reset_connection(sock)

    return end


async def block_loop(block_s):
    while block_s:
        await asyncio.sleep(0.002)
        time.sleep(block_s)  # noqa: ASYNC251


class EarlyAnswerContract:
    """What holds for the answers that any client of upstreams gets."""

    run_loop = staticmethod(run_loop)  # the event loop of the daemons

    @contextlib.asynccontextmanager
    async def sending(self, address):
        """Send the upload; yield the response."""
        raise NotImplementedError

    def results(self, end, *, block_s=0.0, **options):
        """Return the length of each complete answer, or the result of its failure.

        Parameters
        ----------
        block_s : float
            Time for which the client's event loop is blocked again and again, in
            seconds, so that it reads late what has arrived.
        """

        async def main():
            found = []
            blocking = asyncio.create_task(block_loop(block_s))
            for head in HEADS.values():
                server = EarlyServer(head, end, **options)
                async with server.serving() as address:
                    found.append(await self._result(address))
            blocking.cancel()
            return found

        return self.run_async(main())

    async def _result(self, address):
        try:
            async with self.sending(address) as resp:
                return len(await read_response_body(resp))
        except UpstreamFailure as exc:
            return exc.reason

    def test_mixed_answer_that_is_reset_in_an_upload_is_not_complete(self):
        # Guards against a part of an answer that callers get as the whole.
        for end in (reset, reset_later, close_unread):
            for upload_bytes in (0, len(UPLOAD) // 2):
                self.assertEqual(
                    [Result.RETRY_BROKE] * len(HEADS),
                    self.results(end, upload_bytes=upload_bytes),
                    f"{end.__name__} after {upload_bytes} bytes",
                )

    def test_mixed_answer_whose_end_is_followed_by_a_reset_is_not_complete(self):
        # Guards against a part of an answer that counts as the whole or not by the
        # order in which a router reads the end of a connection and its reset.
        for wait_s in (0.0, 0.001, 0.02, 0.1):
            for block_s in (0.0, 0.01):
                found = self.results(end_then_reset(wait_s), block_s=block_s)
                self.assertEqual(
                    [Result.RETRY_BROKE] * len(HEADS), found, (wait_s, block_s)
                )

    def test_answer_that_ends_with_its_connection_is_complete(self):
        for end in (end_then_read, end_without_reading):
            self.assertEqual([len(PART)] * len(HEADS), self.results(end), end)


class OwnInterfaceTests(EarlyAnswerContract, TestCase):
    @contextlib.asynccontextmanager
    async def sending(self, address):
        client = UpstreamClient(timeouts=Timeouts(answer_s=TIME_LIMIT_S))
        request = UpstreamRequest("POST", "/", {}, UPLOAD)
        try:
            async with client.send(address, request, repeatable=False) as resp:
                yield resp
        finally:
            await client.close()


class RouteTests(EarlyAnswerContract, TestCase):
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


class TlsTests(TestCase):
    """Answers without a length over TLS, on the own interface."""

    run_loop = staticmethod(run_loop)

    def results(self, end, *, reads_upload):
        """Return the length of each of some answers, or the result of its failure."""

        async def answer(reader, writer):
            received = await reader.readuntil(b"\r\n\r\n")
            if reads_upload:
                received += await reader.readexactly(len(UPLOAD))
            writer.write(HEADS["no length"] + PART)
            with contextlib.suppress(OSError):
                await writer.drain()
            end(writer)

        async def main():
            with tempfile.TemporaryDirectory() as name:
                folder = Path(name)
                write_certificate(folder, 1)
                certificate, key = folder / "cert.pem", folder / "key.pem"
                tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
                tls.load_cert_chain(certificate, key)
                client_tls = ssl.create_default_context(cafile=certificate)
            server = await asyncio.start_server(answer, "127.0.0.1", 0, ssl=tls)
            address = "{}:{}".format(*server.sockets[0].getsockname())
            client = UpstreamClient(
                timeouts=Timeouts(answer_s=TIME_LIMIT_S), tls=client_tls
            )
            request = UpstreamRequest("POST", "/", {}, UPLOAD)
            found = []
            for _ in range(5):
                try:
                    async with client.send(address, request, repeatable=False) as resp:
                        found.append(len(await read_response_body(resp)))
                except UpstreamFailure as exc:
                    found.append(exc.reason)
            await client.close()
            server.close()
            return found

        return self.run_async(main())

    def test_mixed_answer_that_is_reset_is_not_complete(self):
        # Guards against a part of an answer that callers get as the whole: the event
        # loop does not tell a reset from an end without the closing alert.
        def reset_transport(writer):
            reset_at_close(writer.get_extra_info("socket"))
            writer.transport.abort()

        for reads_upload in (False, True):
            found = self.results(reset_transport, reads_upload=reads_upload)
            self.assertEqual([Result.RETRY_BROKE] * 5, found)

    def test_mixed_answer_that_ends_without_the_closing_alert_is_not_complete(self):
        found = self.results(lambda w: w.transport.abort(), reads_upload=True)
        self.assertEqual([Result.RETRY_BROKE] * 5, found)

    def test_answer_that_ends_with_the_closing_alert_is_complete(self):
        found = self.results(lambda w: w.close(), reads_upload=True)
        self.assertEqual([len(PART)] * 5, found)
