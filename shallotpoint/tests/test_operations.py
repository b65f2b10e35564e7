"""Operators' commands and routers that come and go, over real sockets."""

import asyncio
import contextlib

from testtools.matchers import Contains, Equals

from shallotpoint.bench.load import expected_text
from shallotpoint.daemons.demo import FleetPlan, start_router
from shallotpoint.testing.cases import eventually
from shallotpoint.tests.fleets import (
    FAST,
    FleetTestCase,
    chat,
    client,
    headers,
    operate,
)


class OperatorTests(FleetTestCase):
    def test_conflicting_commands_at_the_same_moment(self):
        async def main(made, session):
            replies = await asyncio.gather(
                operate(made, "set class counter ttft=2s", 0),
                operate(made, "set class counter ttft=3s", 1),
            )
            return replies

        replies = self.with_fleet(main)
        by_status = {r["status"]: r for r in replies}
        self.assertEqual({"accepted", "conflict"}, set(by_status))
        self.assertEqual(
            by_status["accepted"]["version"], by_status["conflict"]["version"]
        )

    def test_different_things_both_succeed_and_are_in_force(self):
        async def main(made, session):
            replies = await asyncio.gather(
                operate(made, "set class counter ttft=2s", 0),
                operate(made, "set class lookup ttft=3s", 1),
                operate(made, "set exception ribe class=counter deadline=9s", 1),
            )

            def in_force(router):
                from shallotpoint.controllers.sections import ConfigSection

                config = router.board.get(ConfigSection).config
                return (
                    config.classes["counter"].ttft_s == 2.0
                    and config.classes["lookup"].ttft_s == 3.0
                    and config.class_for("counter", "ribe").deadline_s == 9.0
                )

            await eventually(lambda: all(in_force(r) for r in made.routers))
            return [r["status"] for r in replies]

        self.assertEqual(["accepted"] * 3, self.with_fleet(main))

    def test_promise_breaking_changes_are_refused(self):
        cases = [
            ("set class x share=90%", "100%"),
            ("set class x protected=yes", "share"),
            ("set pool x models=m", "upstreams"),
            ("set class x tier=9", "tier"),
            ("drop class counter", "organisation"),
            ("set class x colour=red", "colour"),
        ]

        async def main(made, session):
            for command, hint in cases:
                reply = await operate(made, command)
                self.expectThat(reply["status"], Equals("invalid_change"), command)
                self.expectThat(reply["message"], Contains(hint), command)
            bad = await operate(made, "show everything")
            self.assertEqual("parse_error", bad["status"])
            stranger = await operate(made, "show pools", token="x")
            self.assertEqual("not_permitted", stranger["status"])

        self.with_fleet(main)

    def test_lost_answer_of_a_stored_change_is_accepted(self):
        async def main(made, session):
            made.kv.kv.faults.lose_answers = 1.0
            return await operate(made, "set class counter ttft=4s")

        self.assertEqual("accepted", self.with_fleet(main)["status"])

    def test_outage_refuses_changes_and_keeps_serving(self):
        async def main(made, session):
            made.kv.kv.faults.down = True
            reply = await operate(made, "set class counter ttft=4s")
            async with client(made) as api:
                answer = await api.chat.completions.create(**chat("a b"))
            return reply["status"], answer.choices[0].message.content

        status, text = self.with_fleet(main)
        self.assertEqual("store_unavailable", status)
        self.assertEqual(expected_text("a b", 12), text)

    def test_explain_and_show_ask_all_routers(self):
        async def main(made, session):
            url = f"{made.routers[1].callers.url}/v1/chat/completions"
            async with session.post(
                url, json=chat("a b"), headers=headers(made)
            ) as resp:
                request = resp.headers["x-shallotpoint-request"]
            explained = await operate(made, f"explain request {request}")
            routers = await operate(made, "show routers")
            upstreams = await operate(made, "show upstreams where pool=assistant")
            return explained, routers, upstreams

        explained, routers, upstreams = self.with_fleet(main)
        self.assertEqual((2, 2), (explained["answered"], explained["asked"]))
        self.assertEqual("ok", explained["rows"][0]["result"])
        self.assertEqual(2, len(routers["rows"]))
        self.assertEqual(
            {"engine-1", "engine-2"}, {r["name"] for r in upstreams["rows"]}
        )


class MembershipTests(FleetTestCase):
    def test_a_router_that_starts_in_an_outage_learns_from_peers(self):
        async def main(made, session):
            made.kv.kv.faults.down = True
            plan = FleetPlan(routers=3, engines=2, timing=FAST)
            async with contextlib.AsyncExitStack() as stack:
                router = await start_router(made, plan, stack, 2)
                await eventually(router.ready, timeout_s=8.0)
                return router.config.state.version, made.routers[0].config.state.version

        newcomer, known = self.with_fleet(main)
        self.assertEqual(known, newcomer)

    def test_a_router_that_hears_nobody_is_not_ready(self):
        async def main(made, session):
            router = made.routers[0]
            made.kv.kv.faults.down = True
            self.assertTrue(router.ready())
            await eventually(lambda: not router.ready(), timeout_s=12.0)
            made.kv.kv.faults.down = False
            await eventually(router.ready, timeout_s=12.0)

        self.with_fleet(main, routers=1)
