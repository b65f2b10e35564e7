"""The key-value interface: the same tests for the fake and for the client."""

import contextlib
import random
import time
from unittest import mock

import aiohttp

from shallotpoint.coordination import memory_kv
from shallotpoint.coordination.kv import HistoryLost, Put
from shallotpoint.coordination.memory_kv import MemoryKeyValue, MemoryStore
from shallotpoint.httpd import serving
from shallotpoint.platform_api.etcd import EtcdKeyValue
from shallotpoint.platform_api.hosts import HostListError, HostState, HttpHostList
from shallotpoint.standins.hosts import HostListStandin
from shallotpoint.standins.kv import KeyValueStandin
from shallotpoint.testing.cases import TestCase
from shallotpoint.tests.kv_contract import KeyValueContract


@contextlib.asynccontextmanager
async def in_memory():
    kv = MemoryKeyValue(clock=time.monotonic, rng=random.Random(1))
    yield kv, kv.faults


@contextlib.asynccontextmanager
async def over_http():
    standin = KeyValueStandin(seed=1)
    async with serving(standin.app) as server, aiohttp.ClientSession() as session:
        yield EtcdKeyValue(server.url, session), standin.kv.faults


class MemoryKeyValueTests(KeyValueContract, TestCase):
    make = staticmethod(in_memory)


class EtcdKeyValueTests(KeyValueContract, TestCase):
    make = staticmethod(over_http)


class HostListTests(TestCase):
    def test_live_leaving_and_lagging_hosts_and_connection_failure(self):
        async def main():
            standin = HostListStandin()
            standin.add("e", role="engine", address="10.0.0.1:1", data_centre="d")
            async with serving(standin.app) as server, aiohttp.ClientSession() as s:
                hosts = HttpHostList(server.url, s, timeout_s=0.5)
                [live] = await hosts.fetch()
                standin.faults.leaving = ["10.0.0.1:1"]
                [leaving] = await hosts.fetch()
                standin.remove("e")
                standin.faults.lag_s = 60.0
                late = await hosts.fetch()
                url = server.url
            with self.assertRaises(HostListError):
                async with aiohttp.ClientSession() as other:
                    await HttpHostList(url, other, timeout_s=0.5).fetch()
            return live.state, leaving.state, late

        live, leaving, late = self.run_async(main())
        self.assertEqual((HostState.LIVE, HostState.LEAVING), (live, leaving))
        # The lag exceeds the recorded history, so its oldest state is returned.
        self.assertEqual([HostState.LIVE], [host.state for host in late])


class HistoryTests(TestCase):
    def test_changes_that_were_dropped_as_too_many_are_reported_as_lost(self):
        store = MemoryStore()
        with mock.patch.object(memory_kv, "MAX_KEPT_CHANGES", 4):
            for number in range(6):
                store.txn([], [Put("a", b"%d" % number), Put("b", b"")])
        last = store.revision
        self.assertEqual(4, len(store.changes_after("", last - 2)))
        self.assertRaises(HistoryLost, store.changes_after, "", last - 3)
