"""The platform's list of hosts, as the product's own interface reads it."""

import json

import aiohttp

from shallotpoint.platform_api.hosts import HostListError, HttpHostList
from shallotpoint.testing.cases import TestCase
from shallotpoint.testing.scripted_upstream import ScriptedUpstream

HOST = {"name": "e1", "role": "engine", "address": "10.0.0.1:80", "data_centre": "west"}


class HostListTests(TestCase):
    def fetch(self, document):
        raw = json.dumps(document).encode()

        async def answer(line):
            head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(raw)}\r\n\r\n"
            await line.send(head.encode() + raw)

        async def main():
            async with (
                ScriptedUpstream(answer).serving() as address,
                aiohttp.ClientSession() as session,
            ):
                return await HttpHostList(f"http://{address}", session).fetch()

        return self.run_async(main())

    def test_odd_host_does_not_keep_the_others_from_being_listed(self):
        # Guards against one host that keeps all changes of the list from taking effect.
        for change in (
            {"slots": 10**400},
            {"slots": -1},
            {"started_ms": 10**400},
            {"leaves_in_s": 1e300},
            {"address": 5},
            {"state": "odd"},
        ):
            odd = HOST | {"name": "odd"} | change
            hosts = self.fetch({"hosts": [odd, HOST, {}, "x", None]})
            self.assertEqual(["e1"], [host.name for host in hosts], change)

    def test_document_that_is_no_list_is_malformed(self):
        for document in ({}, [], {"hosts": 5}):
            self.assertRaises(HostListError, self.fetch, document)
