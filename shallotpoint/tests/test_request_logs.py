"""The course of a request, from the log lines of several routers."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from shallotpoint.cli import EXIT_FAILED, EXIT_OK, EXIT_USAGE, main
from shallotpoint.operators.logs import explain, read_lines
from shallotpoint.testing.cases import TestCase


def line(second, router, message, **fields):
    time = f"2026-12-04 10:00:{second:02d},500"
    return json.dumps({"time": time, "router": router, "message": message, **fields})


CUT_STREAM = [
    line(1, "one", "configuration in force", version=7, routes=5),
    line(2, "one", "upstream listed", upstream="e1", state="serving"),
    line(3, "one", "request sent", request="a", upstream="e1", attempt=1, running=4),
    line(4, "one", "attempt failed", request="a", upstream="e1", reason="retry_broke"),
    line(4, "one", "request sent", request="b", upstream="e1", attempt=1, running=4),
    line(5, "one", "request ended", request="a", result="stream_cut", upstream="e1"),
]
STALE_KEY = [
    line(1, "one", "configuration in force", version=7, routes=5),
    line(2, "one", "store lost", prefix="op/config", age_s=1.2, reason="no answer"),
    line(2, "two", "configuration in force", version=8, routes=5),
    line(9, "one", "request ended", request="a", result="stale_view", view_age_s=8.2),
]
CREST = [
    line(1, "two", "store lost", prefix="op/config", age_s=1.2, reason="no answer"),
    line(2, "two", "store regained", prefix="op/config", age_s=0.0, reason="store"),
    line(9, "two", "request ended", request="a", result="wait_expired", attempts=0),
]


class ExplainTests(TestCase):
    def told(self, raw, request="a"):
        return "\n".join(explain(read_lines(raw), request))

    def test_cut_stream_names_the_upstream_and_what_was_known_of_it(self):
        told = self.told(reversed(CUT_STREAM))
        self.assertIn("+0.000 s  one  request sent", told)
        self.assertIn("+1.000 s  one  attempt failed", told)
        self.assertIn("reason=retry_broke", told)
        self.assertIn("believed: upstream listed serving, for 1.000 s", told)
        self.assertIn("result 303 stream_cut", told)
        self.assertNotIn("request=b", told)

    def test_refused_key_shows_the_lost_store_of_that_router(self):
        told = self.told(STALE_KEY)
        self.assertIn("store lost for op/config, for 7.000 s: no answer", told)
        self.assertIn("configuration 7, for 8.000 s", told)
        self.assertNotIn("configuration 8", told)
        self.assertIn("not run", told)

    def test_refusal_at_the_crest_shows_no_outage_that_is_over(self):
        told = self.told(CREST)
        self.assertNotIn("store lost", told)
        self.assertIn("result 202 wait_expired", told)

    def test_other_text_around_the_lines_is_passed_over(self):
        raw = ["played in 3 s", "{broken", '{"no": "time"}', f"  3.1 one {CREST[2]}"]
        self.assertIn("wait_expired", self.told(raw))


class CommandTests(TestCase):
    def run_on(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main(["logs", "explain", *arguments])
        return code, out.getvalue(), err.getvalue()

    def test_files_of_several_routers(self):
        with tempfile.TemporaryDirectory() as folder:
            paths = [str(Path(folder) / name) for name in ("one", "two")]
            for path, lines in zip(paths, (CUT_STREAM, CREST), strict=True):
                Path(path).write_text("\n".join(lines))
            code, out, _ = self.run_on("a", *paths)
            missing, _, err = self.run_on("zz", *paths)
        self.assertEqual((EXIT_OK, EXIT_FAILED), (code, missing))
        self.assertIn("wait_expired", out)
        self.assertIn("zz", err)

    def test_missing_file(self):
        code, _, err = self.run_on("a", "/nowhere/log")
        self.assertEqual(EXIT_USAGE, code)
        self.assertIn("/nowhere/log", err)
