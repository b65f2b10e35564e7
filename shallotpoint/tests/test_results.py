from pathlib import Path

from testtools.matchers import Contains, Equals

from shallotpoint.metrics import Metrics
from shallotpoint.results import RESULTS, Executed, Kind, Result, render_table
from shallotpoint.testing.cases import TestCase

DOCS = Path(__file__).parents[2] / "docs"


class ResultTableTests(TestCase):
    def test_every_code_has_a_row(self):
        self.assertEqual(set(Result), set(RESULTS))

    def test_docs_hold_the_table(self):
        text = (DOCS / "result-codes.md").read_text()
        self.assertThat(text, Contains(render_table()))

    def test_refusals_promise_not_run(self):
        for result, info in RESULTS.items():
            if info.kind is Kind.REFUSAL:
                self.expectThat(info.executed, Equals(Executed.NO), result.name)

    def test_each_refusal_and_retry_has_a_counter(self):
        text = Metrics().render()[0].decode()
        for result, info in RESULTS.items():
            if info.kind in (Kind.REFUSAL, Kind.RETRY):
                reason = f'reason="{result.name.lower()}"'
                self.expectThat(text, Contains(reason))
