"""Orders of operators to engines: when they are done, sent again or delayed."""

from shallotpoint.controllers.orders import LoadRateLimiter, is_done
from shallotpoint.policy.configuration import UpstreamOrder
from shallotpoint.testing.cases import TestCase, eventually
from shallotpoint.tests.fleets import FleetTestCase, operate


class OrderRuleTests(TestCase):
    def test_order_is_done_when_the_engine_state_matches(self):
        load = UpstreamOrder("o", "e", "load", "m", "")
        adapter = UpstreamOrder("o", "e", "load", "m", "v2")
        unload = UpstreamOrder("o", "e", "unload", "m", "")
        role = UpstreamOrder("o", "e", "role", "", "prefill")
        cases = [
            (load, {"loaded": {}}, False),
            (load, {"loaded": {"m": "base"}}, True),
            (adapter, {"loaded": {"m": "base"}}, False),
            (adapter, {"loaded": {"m": "v2"}}, True),
            (unload, {"loaded": {"m": "base"}}, False),
            (unload, {"loaded": {}}, True),
            (role, {"role": "serve"}, False),
            (role, {"role": "prefill"}, True),
        ]
        for order, engine, wanted in cases:
            self.assertEqual(wanted, is_done(order, engine), (order, engine))

    def test_rate_of_loads_is_limited(self):
        limit = LoadRateLimiter(30)
        taken = [limit.try_acquire(second / 2) for second in range(20)]
        self.assertEqual(5, sum(taken))


class OrderFleetTests(FleetTestCase):
    def test_order_is_repeated_until_the_engine_state_matches(self):
        async def main(fleet, session):
            reply = await operate(fleet, "order upstream engine-1 load=big")
            engine = fleet.engines[0]
            await eventually(lambda: "big" in engine.orders.loaded, timeout_s=12.0)
            # The engine loses its state in a restart; the order is sent again.
            engine.orders.loaded.pop("big")
            await eventually(lambda: "big" in engine.orders.loaded, timeout_s=12.0)
            fences = [order["fence"] for order in engine.orders.log]
            rows = (await operate(fleet, "show orders", 1))["rows"]
            return reply["status"], fences, rows

        status, fences, rows = self.with_fleet(main)
        self.assertEqual("order_pending", status)
        self.assertEqual(sorted(fences), fences)
        self.assertEqual(["engine-1"], [row["upstream"] for row in rows])
