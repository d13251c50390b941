"""The soak's checks of prompt parts, each broken on purpose."""

import unittest

from tools.soak import callers
from tools.soak import engine
from tools.soak import part_checks
from tools.soak import record as records

PART = b"bad-1"
FIRST_AT = 10.0


def _record(late=0, begun_after=30, count=30):
    """Return a run: five crashes, late requests, and others beside them."""
    record = records.new_record()
    record.part_crashes = [(PART, FIRST_AT + number) for number in range(5)]
    settled_at = FIRST_AT + 4 + part_checks.SETTLED_S
    for number in range(late):
        _add(record, f"late{number}", FIRST_AT + 8 + number / 10, 503, True)
    _add(record, "last", settled_at + 50.0, 503, True)
    for number in range(count):
        _add(record, f"before{number}", number / 10, 200)
        _add(record, f"after{number}", settled_at + number + 0.5,
             200 if number < begun_after else 503)
    return record


def _add(record, rid, at, status, is_bad=False):
    body = engine.BAD_PART + b":" if is_bad else b"fine"
    sent = records.SentRequest(
        callers.Request(rid, "top", "/top/1", (), body), "h1", 1, at, 1, 1,
        ended_at=at + 0.1, reply=callers.Reply(status, b"id: 1\n\n"))
    record.sent[rid] = sent
    if rid.startswith("late"):
        record.part_arrivals.append((PART, rid, at))


class PartChecksTest(unittest.TestCase):
    """Prompts with a bad part, and those beside them."""

    def _errors(self, record):
        return part_checks.check_parts(record, ("top", "low"))

    def test_part_that_is_refused(self):
        self.assertEqual([], self._errors(_record(late=3)))

    def test_part_that_goes_on_to_reach_engines(self):
        (error,) = self._errors(_record(late=4))
        self.assertIn("4 requests reached engines", error)

    def test_hosts_that_a_fault_disturbed_dont_count(self):
        record = _record(late=4)
        record.add_fault("h1", "kill", FIRST_AT + 6)
        self.assertEqual([], self._errors(record))

    def test_requests_beside_it_that_are_refused(self):
        (error,) = self._errors(_record(begun_after=10))
        self.assertIn("0.33 of the requests without it begin", error)
        self.assertEqual([], self._errors(_record(begun_after=16)))

    def test_few_requests_beside_it_show_nothing(self):
        self.assertEqual([], self._errors(_record(begun_after=0, count=19)))


if __name__ == "__main__":
    unittest.main()
