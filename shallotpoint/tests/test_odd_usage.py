"""Token usage that engines report with numbers that cannot be computed with."""

import json

import msgspec

from shallotpoint.callers.answer import CompletionProgress
from shallotpoint.callers.chat import count_completion_tokens
from shallotpoint.policy.prompts import MAX_TOKENS
from shallotpoint.testing.cases import TestCase


class OddUsageTests(TestCase):
    def test_collected_answer_with_odd_usage_is_whole(self):
        # Guards against an answer that is lost as the router fails on its usage.
        for odd in ("many", None, [], -1, 10**400, 1e300, True):
            progress = CompletionProgress(b'{"messages": []}', limit=None)
            chunk = {
                "choices": [{"delta": {"content": "a"}}],
                "usage": {"prompt_tokens": odd},
            }
            progress.add(b"data: " + json.dumps(chunk).encode() + b"\n\n", 1, 2.0)
            raw = progress.encode_completion("r", "m", created=1)
            answer = msgspec.json.decode(raw)
            self.assertEqual("a", answer["choices"][0]["message"]["content"], odd)
            self.assertEqual(1, answer["usage"]["total_tokens"], odd)

    def test_tokens_of_a_whole_answer_are_bounded(self):
        # Guards against a count that ends the task which schedules a pool.
        for odd, expected in ((10**400, MAX_TOKENS), (-5, 1), (0, 1), (7, 7)):
            body = json.dumps({"usage": {"completion_tokens": odd}}).encode()
            self.assertEqual(expected, count_completion_tokens(body))
