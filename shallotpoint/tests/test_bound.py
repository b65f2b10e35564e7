"""Connections to upstreams: connection resets, socket options and closing.

A response with neither a content length nor chunked encoding ends when its
connection closes.  If a reset counted as that end, a truncated body would be
delivered as complete.
"""

import asyncio
import errno
import socket

import aiohttp
from multidict import CIMultiDict

from shallotpoint.testing.cases import TestCase
from shallotpoint.upstreams.bound import PerUpstreamClient
from shallotpoint.upstreams.client import UpstreamRequest
from shallotpoint.upstreams.connections import make_strict_connector

UNFRAMED_RESPONSE = b"HTTP/1.1 200 OK\r\n\r\nhalf"


class FakeSocket:
    family = socket.AF_UNIX  # aiohttp sets no options on Unix sockets

    def __init__(self, error):
        self.error = error

    def fileno(self):
        return -1

    def getsockopt(self, level, option):
        self.queried_option = (level, option)
        return self.error


class FakeTransport(asyncio.Transport):
    def __init__(self, sock):
        super().__init__(extra={"socket": sock})

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def close(self):
        pass

    def get_write_buffer_size(self):
        return 0


class ResetTests(TestCase):
    def read_body(self, socket_error, connection_error=None):
        """Return the body of a response whose connection ends in a given way.

        ``socket_error`` is the errno that the socket reports at the end of file,
        ``connection_error`` the error that the event loop passes to connection_lost().
        """

        async def main():
            connector = make_strict_connector()
            protocol = connector._factory()
            protocol.connection_made(FakeTransport(FakeSocket(socket_error)))
            protocol.set_response_params(read_until_eof=True)
            protocol.data_received(UNFRAMED_RESPONSE)
            _, body = await protocol.read()
            protocol.eof_received()
            protocol.connection_lost(connection_error)
            await connector.close()
            return await body.read()

        return self.run_async(main())

    def test_normal_eof_completes_the_body(self):
        self.assertEqual(b"half", self.read_body(0))

    def test_reset_reported_as_eof_fails_the_body(self):
        # libuv reports an end of file if data and a reset arrive in the same
        # iteration of its event loop.
        with self.assertRaises(aiohttp.ClientPayloadError):
            self.read_body(errno.ECONNRESET)

    def test_reset_fails_the_body(self):
        with self.assertRaises(aiohttp.ClientPayloadError):
            self.read_body(0, ConnectionResetError())

    def test_sockets_set_user_timeout_and_keepalive(self):
        async def main():
            connector = make_strict_connector()
            address_info = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 9))
            sock = connector._socket_factory(address_info)
            await connector.close()
            with sock:
                options = (socket.TCP_USER_TIMEOUT, socket.TCP_KEEPIDLE)
                return [sock.getsockopt(socket.IPPROTO_TCP, o) for o in options]

        self.assertEqual([2_000, 1], self.run_async(main()))


class CloseTests(TestCase):
    def test_close_does_not_wait_for_an_unanswered_request(self):
        async def never_respond(reader, writer):
            await asyncio.sleep(60.0)

        async def main():
            server = await asyncio.start_server(never_respond, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            client = PerUpstreamClient()

            async def send_request():
                outgoing = UpstreamRequest("GET", "/", CIMultiDict(), b"")
                async with client.send(
                    "u1", f"{host}:{port}", outgoing, repeatable=True, timeout_s=30.0
                ):
                    pass

            request_task = asyncio.create_task(send_request())
            await asyncio.sleep(0.1)
            async with asyncio.timeout(0.2):
                await client.close()
            request_task.cancel()
            await asyncio.gather(request_task, return_exceptions=True)
            server.close()

        self.run_async(main())
