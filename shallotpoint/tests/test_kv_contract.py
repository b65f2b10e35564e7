"""The key-value interface: the same tests for the fake and for the client."""

import contextlib
import random
import time

import aiohttp

from shallotpoint.coordination.memory_kv import MemoryKeyValue
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
