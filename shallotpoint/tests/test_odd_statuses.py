"""Answers of upstreams whose status no server may give."""

from shallotpoint.loop import run_loop
from shallotpoint.results import Result
from shallotpoint.testing.cases import TestCase
from shallotpoint.testing.scripted_upstream import ScriptedUpstream
from shallotpoint.upstreams.client import (
    Timeouts,
    UpstreamClient,
    UpstreamFailure,
    UpstreamRequest,
    read_response_body,
)

ODD_STATUSES = (
    "000",
    "001",
    "099",
    "101",
    "600",
    "999",
    "0200",
    "20",
    "2000",
    "-01",
    "+200",
    "2 0",
    "2x0",
    "2\u00b20",
    "",
)


class OwnInterfaceTests(TestCase):
    run_loop = staticmethod(run_loop)

    def send(self, status):
        """Return the status and body that the client takes, or its failure."""

        async def answer(line):
            await line.send(
                f"HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nok".encode(
                    "latin-1"
                )
            )

        async def main():
            client = UpstreamClient(timeouts=Timeouts(answer_s=2.0))
            request = UpstreamRequest("POST", "/", {}, b"x")
            async with ScriptedUpstream(answer).serving() as address:
                try:
                    async with client.send(address, request, repeatable=False) as resp:
                        return resp.status, await read_response_body(resp)
                except UpstreamFailure as exc:
                    return exc.reason
                finally:
                    await client.close()

        return self.run_async(main())

    def test_mixed_answer_with_a_status_that_does_not_exist_is_a_failure(self):
        # Guards against a server in trouble whose status 000 callers get as an answer.
        for status in ODD_STATUSES:
            self.assertIs(Result.RETRY_BROKE, self.send(status), status)

    def test_answer_with_any_other_status_is_relayed(self):
        for status in (200, 204, 404, 500, 599):
            body = b"" if status == 204 else b"ok"
            self.assertEqual((status, body), self.send(status))
