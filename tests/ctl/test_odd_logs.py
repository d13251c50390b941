"""Odd lines of logs and odd answers of hosts, as the client reads them."""

import json
import unittest

from crocuskeel.ctl import client as clients
from crocuskeel.ctl import entry_logs
from crocuskeel import objectapi
from tests.ctl import fleet as fleets
from tests import odd_forms

LINE = {"t": 1.0, "wall": 2000.0, "host": "h1", "event": "lease_acquired",
        "rid": "r1", "server": "s1", "fence": 7}
GOOD = json.dumps({**LINE, "event": "gave_up"})


class OddLinesTest(unittest.TestCase):
    """Guards against a line that ends the command."""

    def test_odd_lines_are_counted_or_shown(self):
        for form in odd_forms.BRIEF:
            for text in odd_forms.replaced(LINE, form):
                fleet = fleets.Fleet()
                fleet.files = {"one.log": f"{GOOD}\n{text}\n{GOOD}"}
                with self.subTest(text[:150]):
                    code, out, _ = fleet.run(
                        "explain", "r1", "--file", "one.log")
                    self.assertEqual(0, code)
                    self.assertIn("gave_up", out)
                    rows, invalid = entry_logs.parse([text])
                    self.assertEqual(1, len(rows) + invalid)
                    if rows:
                        fleet.run("duties", "one.log")

    def test_odd_answers_are_errors(self):
        for text in odd_forms.DEEP:
            found = clients._parse_response(
                "h1", objectapi.HttpResponse(500, {}, text.encode()))
            self.assertIsInstance(found, clients._HostFailure)


if __name__ == "__main__":
    unittest.main()
