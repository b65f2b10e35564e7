"""The command that explains the handling of a request, on a running router."""

import argparse
import contextlib
import io
import json
import logging

from shallotpoint.cli import _parser
from shallotpoint.operators import explain_route
from shallotpoint.testing.cases import eventually
from shallotpoint.testing.routing import HOST, KEY
from shallotpoint.tests.test_route_router import RouterCase, router


class ExplainRouteTests(RouterCase):
    def explain(self, *descriptions):
        """Return statuses, answers and metrics before and after, and the logs."""
        logged = io.StringIO()
        handler = logging.StreamHandler(logged)
        handler.setFormatter(logging.Formatter("%(message)s %(__dict__)s", style="%"))

        async def scenario(kv, session):
            async with router(kv) as made:
                await eventually(made.ready)
                await eventually(lambda: made.pools.runner("desk").scheduler.upstreams)
                base = f"http://{made.settings.listen.metrics}"

                async def requests_in_metrics():
                    async with session.get(f"{base}/metrics") as resp:
                        text = await resp.text()
                    return [li for li in text.splitlines() if "_total" in li]

                before = await requests_in_metrics()
                answers = []
                for description in descriptions:
                    async with session.post(
                        f"{base}/explain/route", data=description
                    ) as resp:
                        answers.append((resp.status, await resp.json()))
                self.assertEqual(before, await requests_in_metrics())
                self.assertEqual({}, made.pools.runner("desk").scheduler.requests)
                return answers

        root = logging.getLogger()
        root.addHandler(handler)
        try:
            answers = self.play(scenario)
        finally:
            root.removeHandler(handler)
        self.assertNotIn(KEY, logged.getvalue())
        self.assertNotIn(KEY, json.dumps(answers))
        return answers

    def test_request_that_would_be_sent(self):
        described = {"host": HOST, "path": "/desk/1", "key": KEY, "size_bytes": 9}
        [(status, answer)] = self.explain(json.dumps(described))
        self.assertEqual(200, status)
        self.assertEqual(
            ("desk", "school", "u1", None, 0),
            tuple(
                answer[name]
                for name in ("pool", "organisation", "upstream", "refusal", "ahead")
            ),
        )
        [found] = answer["upstreams"]
        self.assertEqual(("u1", "chosen"), (found["upstream"], found["verdict"]))
        self.assertIn("u1: chosen", "\n".join(explain_route.render(answer)))

    def test_requests_that_would_be_refused(self):
        answers = self.explain(
            json.dumps({"host": "other", "path": "/desk/1"}),
            json.dumps({"host": HOST, "path": "/desk/1"}),
            json.dumps({"host": HOST, "path": "/desk/1", "key": "no key"}),
        )
        self.assertEqual(
            ["no_route", "missing_key", "wrong_key"],
            [answer["refusal"]["result"] for _, answer in answers],
        )
        for _, answer in answers:
            self.assertIn("refused", "\n".join(explain_route.render(answer)))

    def test_unusable_descriptions_name_the_field(self):
        good = {"host": HOST, "path": "/desk/1"}
        faults = {
            "not JSON": b"{",
            "path": json.dumps({"host": HOST}),
            "host": json.dumps(good | {"host": ""}),
            "begin with /": json.dumps(good | {"path": "desk"}),
            "organisation": json.dumps(good | {"organisation": "nobody"}),
            "not both": json.dumps(good | {"organisation": "school", "key": KEY}),
            "time_left_s": json.dumps(good | {"time_left_s": -1}),
            "size_bytes": json.dumps(good | {"size_bytes": -1}),
            "prompt_parts": json.dumps(good | {"prompt_parts": [["a", -1]]}),
            "prompt_tokens": json.dumps(good | {"prompt_tokens": "many"}),
            "$.prompt_tokens": json.dumps(good | {"prompt_tokens": 10**400}),
            "$.prompt_parts": json.dumps(good | {"prompt_parts": [["a", 10**400]]}),
            "$.output_tokens": json.dumps(good | {"output_tokens": 10**400}),
            "$.size_bytes": json.dumps(good | {"size_bytes": 10**400}),
            "modell": json.dumps(good | {"modell": "x"}),
        }
        answers = self.explain(*faults.values())
        for (name, _), (status, answer) in zip(faults.items(), answers, strict=True):
            self.assertEqual(400, status, name)
            if name != "not JSON":
                self.assertIn(name, json.dumps(answer))

    def test_command_prints_lines_or_json(self):
        async def scenario(kv, session):
            async with router(kv) as made:
                await eventually(made.ready)
                await eventually(lambda: made.pools.runner("desk").scheduler.upstreams)
                url = f"http://{made.settings.listen.metrics}/"
                described = {"host": HOST, "path": "/desk/1", "organisation": "school"}
                printed = []
                for as_json in (False, True):
                    with contextlib.redirect_stdout(io.StringIO()) as output:
                        code = await explain_route.ask(url, described, as_json=as_json)
                    printed.append((code, output.getvalue()))
                with contextlib.redirect_stderr(io.StringIO()) as output:
                    code = await explain_route.ask(
                        url, described | {"organisation": "nobody"}, as_json=False
                    )
                return [*printed, (code, output.getvalue())]

        (code, lines), (json_code, text), (bad, error) = self.play(scenario)
        self.assertEqual((0, 0, 2), (code, json_code, bad))
        self.assertIn("upstream       u1", lines)
        self.assertEqual("u1", json.loads(text)["upstream"])
        self.assertIn("organisation: not in the configuration", error)

    def test_very_large_description_is_refused(self):
        [(status, _)] = self.explain(b" " * 100_000)
        self.assertEqual(413, status)


class CommandTests(RouterCase):
    def parse(self, *options) -> argparse.Namespace:
        base = ["explain", "route", "--at", "http://127.0.0.1:9", "--host", HOST]
        return _parser().parse_args([*base, "--path", "/desk/1", *options])

    def test_options_become_a_description(self):
        args = self.parse("--part", "base:4800", "--part", "own:200", "--size", "7")
        described = explain_route.describe(args)
        self.assertEqual([("base", 4800), ("own", 200)], described["prompt_parts"])
        self.assertEqual(7, described["size_bytes"])
        self.assertNotIn("key", described)

    def test_unusable_part_names_the_option_and_the_fix(self):
        for text in ("base", ":3", "base:", "base:-1"):
            args = self.parse("--part", text)
            error = self.assertRaises(ValueError, explain_route.describe, args)
            self.assertIn("--part", str(error))
            self.assertIn("ID:TOKENS", str(error))

    def test_router_that_does_not_answer_is_named(self):
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            code = self.run_async(
                explain_route.ask("http://127.0.0.1:9", {}, as_json=False)
            )
        self.assertEqual(1, code)
        self.assertIn("--at", errors.getvalue())
