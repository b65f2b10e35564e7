import contextlib
import io
import tempfile
from pathlib import Path

from testtools.matchers import Contains

from shallotpoint.bench.processes import settings_text
from shallotpoint.cli import main
from shallotpoint.settings import load_settings
from shallotpoint.testing.cases import TestCase

GOOD = settings_text("r1", "http://127.0.0.1:1", "http://127.0.0.1:2", (1, 2, 3))


class SettingsTests(TestCase):
    def write(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "router.toml"
        path.write_text(text)
        return str(path)

    def check(self, text):
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            code = main(["check", self.write(text)])
        return code, errors.getvalue()

    def test_good_file(self):
        self.assertEqual((0, ""), self.check(GOOD))

    def test_each_bad_key_is_named_with_value_and_what_is_allowed(self):
        cases = [
            ('name = "r1"', 'name = "r 1"', "router.name", "r 1"),
            ('name = "r1"', "", "router.name", "required"),
            ('"127.0.0.1:1"', '"localhost:1"', "listen.callers", "IP number"),
            ('"127.0.0.1:2"', '"127.0.0.1:99999"', "listen.operators", "99999"),
            ('data_centre = "dc-1"', "data_centre = 3", "router.data_centre", "string"),
            ("host_lag_s = 0.2", "host_lag_s = -1", "platform.host_lag_s", "0 up"),
            ("host_lag_s = 0.2", 'host_lag_s = "x"', "platform.host_lag_s", "number"),
            ("host_lag_s = 0.2", "lag = 1", "platform.lag", "one of"),
            ('role = "change"', 'role = "root"', "operators[0].role", "read or change"),
            ('level = "error"', 'level = "loud"', "log.level", "debug"),
        ]
        for old, new, path, hint in cases:
            self.assertIn(old, GOOD)
            code, errors = self.check(GOOD.replace(old, new, 1))
            self.assertEqual(2, code, new)
            self.expectThat(errors, Contains(path), new)
            self.expectThat(errors, Contains(hint), new)

    def test_all_faults_come_in_one_group(self):
        text = GOOD.replace('"r1"', "1", 1).replace('"dc-1"', "2", 1)
        try:
            load_settings(self.write(text))
        except* ValueError:
            raise AssertionError("wrong kind of error") from None
        except* Exception as group:
            self.assertEqual(2, len(group.exceptions))

    def test_unreadable_file(self):
        self.assertEqual(2, self.check("[router")[0])
