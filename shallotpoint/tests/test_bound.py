"""Connections to upstreams: how their end is told from a reset."""

import asyncio
import errno
import socket

import aiohttp

from shallotpoint.testing.cases import TestCase
from shallotpoint.upstreams.bound import watched_connector

UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nhalf"


class FakeSocket:
    family = socket.AF_UNIX  # for which the library sets no options

    def __init__(self, error):
        self.error = error

    def getsockopt(self, level, option):
        self.asked = (level, option)
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


class ResetTests(TestCase):
    def read(self, error, lost_with=None):
        """Return the body of an answer whose connection ends in some way."""

        async def main():
            connector = watched_connector()
            protocol = connector._factory()
            protocol.connection_made(FakeTransport(FakeSocket(error)))
            protocol.set_response_params(read_until_eof=True)
            protocol.data_received(UNFRAMED)
            _, body = await protocol.read()
            protocol.eof_received()
            protocol.connection_lost(lost_with)
            await connector.close()
            return await body.read()

        return self.run_async(main())

    def test_plain_end_completes_the_body(self):
        self.assertEqual(b"half", self.read(0))

    def test_reset_behind_a_plain_end_breaks_the_body(self):
        # libuv reports an end where data and a reset came in one turn.
        with self.assertRaises(aiohttp.ClientPayloadError):
            self.read(errno.ECONNRESET)

    def test_reset_breaks_the_body(self):
        with self.assertRaises(aiohttp.ClientPayloadError):
            self.read(0, ConnectionResetError())

    def test_sockets_notice_a_silent_peer(self):
        async def main():
            connector = watched_connector()
            family = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 9))
            sock = connector._socket_factory(family)
            await connector.close()
            with sock:
                options = (socket.TCP_USER_TIMEOUT, socket.TCP_KEEPIDLE)
                return [sock.getsockopt(socket.IPPROTO_TCP, o) for o in options]

        self.assertEqual([2_000, 1], self.run_async(main()))
