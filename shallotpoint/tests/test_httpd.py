"""Time limits on callers' connections, and answers that are cut."""

import asyncio
import contextlib
import time

from testtools.matchers import GreaterThan, LessThan

from shallotpoint.callers.exchange import Exchange
from shallotpoint.daemons.route_router import STOP_MARGIN_S
from shallotpoint.httpd import HttpServer, serving
from shallotpoint.testing.cases import TestCase

HEAD = b"GET / HTTP/1.1\r\nHost: shop.example\r\n"
IDLE_S = 0.4
HEAD_S = 0.2


async def answer(exchange):
    await exchange.send_answer(200, b"{}")


class TalkCase(TestCase):
    def talk(self, scenario, behave=answer):
        async def app(scope, receive, send):
            await behave(Exchange(scope, receive, send, "r1"))

        async def main():
            async with serving(app) as server:
                server.limits.idle_s, server.limits.head_s = IDLE_S, HEAD_S
                self.limits = server.limits
                host, _, port = server.address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    return await scenario(reader, writer)
                finally:
                    writer.close()

        return self.run_async(main())


class LimitTests(TalkCase):
    async def time_to_end(self, reader):
        started_s = time.monotonic()
        with contextlib.suppress(ConnectionError):
            while await asyncio.wait_for(reader.read(4096), 3.0):
                pass
        return time.monotonic() - started_s

    def test_connection_without_a_request_ends_after_the_idle_time(self):
        async def scenario(reader, writer):
            return await self.time_to_end(reader)

        took_s = self.talk(scenario)
        self.assertThat(took_s, GreaterThan(IDLE_S / 2))
        self.assertThat(took_s, LessThan(3 * IDLE_S))

    def test_kept_connection_ends_after_the_idle_time(self):
        async def scenario(reader, writer):
            writer.write(HEAD + b"\r\n")
            return await self.time_to_end(reader)

        took_s = self.talk(scenario)
        self.assertThat(took_s, GreaterThan(IDLE_S / 2))
        self.assertThat(took_s, LessThan(3 * IDLE_S))

    def check_longer_idle_time(self, first_request):
        async def scenario(reader, writer):
            writer.write(first_request)
            await asyncio.sleep(IDLE_S / 2)
            self.limits.idle_s = 3 * IDLE_S
            await asyncio.sleep(1.5 * IDLE_S)
            writer.write(HEAD + b"\r\n")
            started_s = time.monotonic()
            raw = b""
            while data := await asyncio.wait_for(reader.read(4096), 5.0):
                raw += data
            return raw.count(b"HTTP/1.1 200 OK\r\n"), time.monotonic() - started_s

        answers, took_s = self.talk(scenario)
        self.assertEqual(2 if first_request else 1, answers)
        self.assertThat(took_s, GreaterThan(2 * IDLE_S))
        self.assertThat(took_s, LessThan(6 * IDLE_S))

    def test_longer_idle_time_holds_for_a_kept_connection(self):
        # Guards against a connection that is closed by the limit of an earlier
        # configuration while its caller may use it.
        self.check_longer_idle_time(HEAD + b"\r\n")

    def test_longer_idle_time_holds_for_a_connection_without_a_request(self):
        self.check_longer_idle_time(b"")

    def test_slow_head_ends_the_connection(self):
        async def scenario(reader, writer):
            writer.write(HEAD)
            return await self.time_to_end(reader)

        self.assertThat(self.talk(scenario), LessThan(IDLE_S))

    def test_head_in_parts_within_its_time_is_answered(self):
        async def scenario(reader, writer):
            writer.write(HEAD)
            await asyncio.sleep(HEAD_S / 2)
            writer.write(b"\r\n")
            return await reader.readline()

        self.assertEqual(b"HTTP/1.1 200 OK\r\n", self.talk(scenario))

    def test_slow_second_head_does_not_cut_the_answer_to_the_first(self):
        async def slowly(exchange):
            await asyncio.sleep(3 * HEAD_S)
            await answer(exchange)

        async def scenario(reader, writer):
            writer.write(HEAD + b"\r\n" + HEAD)
            return await reader.readline()

        self.assertEqual(b"HTTP/1.1 200 OK\r\n", self.talk(scenario, slowly))


class CutTests(TalkCase):
    def test_cut_answer_has_no_end_and_logs_no_fault_of_the_server(self):
        async def half(exchange):
            await exchange.send_headers(200, [])
            await exchange.write(b"half")
            await exchange.abort()

        async def scenario(reader, writer):
            writer.write(HEAD + b"\r\n")
            raw = b""
            with contextlib.suppress(ConnectionError):
                while data := await asyncio.wait_for(reader.read(4096), 3.0):
                    raw += data
            await asyncio.sleep(0.05)
            return raw

        with self.assertNoLogs("uvicorn.error", level="ERROR"):
            raw = self.talk(scenario, half)
        self.assertFalse(raw.endswith(b"0\r\n\r\n"), raw)


class StopTests(TestCase):
    def test_requests_that_do_not_end_hold_a_stop_for_its_grace_time_only(self):
        async def behave(scope, receive, send):
            exchange = Exchange(scope, receive, send, "r1")
            await exchange.send_headers(200, [])
            await exchange.write(b"x")
            await asyncio.sleep(60.0)

        async def main():
            server = HttpServer(behave, host="127.0.0.1")
            await server.start()
            host, _, port = server.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(HEAD + b"\r\n")
            await reader.readuntil(b"\r\n\r\n")
            started_s = time.monotonic()
            await server.stop(grace_s=0.3)
            writer.close()
            return time.monotonic() - started_s

        # The platform kills a router this long after it has stopped.
        self.assertThat(self.run_async(main()), LessThan(STOP_MARGIN_S))
