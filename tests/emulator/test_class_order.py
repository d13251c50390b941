"""Refusals of each class while larger, less urgent requests begin."""

import unittest
from unittest import mock

from emulator import deployment as deployments
from emulator import run
from emulator import tally as tallies

# Greatest share of a class that may get nothing in WINDOW_S while larger
# requests of a less urgent class begin.
MAX_REFUSED_SHARE = 1 / 12
WINDOW_S = 5.0
MIN_REFUSED = 10
SEED = 0
CHAT = deployments.Kind(
    "chat", "stream", 12.0, 0, 170, 540, 80, 30, 300.0, 250.0, 15_000.0,
    2.1, 0.2)
ADVICE = deployments.Kind(
    "advice", "stream", 15.0, 1, 570, 1_800, 40, 8, 500.0, 400.0, 4_000.0,
    2.0, 0.6)
DRAFT = deployments.Kind(
    "draft", "stream", 10.5, 2, 6_300, 2_900, 300, 12, 2_000.0, 1_000.0,
    6_000.0, 2.6, 0.8)
BURST = deployments.Fault("burst", 2.0, 8.0, times=3.0)
DEPLOYMENT = deployments.Deployment(
    name="three-classes", hosts=6, seconds=14.0, way_ms=1.0,
    plain=deployments.Plain(), kinds=(CHAT, ADVICE, DRAFT), faults=(BURST,),
    engines=deployments.Engines(
        count=6, slots=24, memory=230_000, read_tokens_s=40_000, step_ms=5.0,
        running_ms=0.3, event_tokens=5, fetch_token_us=5.0))


def refused_windows(callers, kind, larger):
    """Return (start, share) of windows in which too many are refused."""
    found = []
    for start in (step / 2 for step in range(20)):
        seen = [caller for at, caller in callers
                if start <= at < start + WINDOW_S]
        asked = [caller for caller in seen if caller.kind is kind]
        refused = sum(caller.outcome == "refused" for caller in asked)
        began = any(caller.kind in larger
                    and caller.first_event_at is not None for caller in seen)
        if (began and refused >= MIN_REFUSED
                and refused > MAX_REFUSED_SHARE * len(asked)):
            found.append((start, round(refused / len(asked), 3)))
    return found


class ClassOrderTest(unittest.TestCase):
    """Three classes bring several times what the engines can serve."""

    def _play(self):
        callers = []

        def record(tally, caller):
            callers.append((caller.at - tally.began, caller))

        with mock.patch.object(tallies.Tally, "record_outcome", record):
            run.played(DEPLOYMENT, SEED)
        return callers

    def test_the_most_urgent_are_not_refused_while_larger_begin(self):
        self.assertEqual(
            [], refused_windows(self._play(), CHAT, (ADVICE, DRAFT)))

    def test_the_second_class_is_not_refused_while_larger_begin(self):
        # Drafts wait longer for room than requests for advice, so more of
        # them are there at the moments at which engines admit both.
        self.assertEqual(
            [], refused_windows(self._play(), ADVICE, (DRAFT,)))


if __name__ == "__main__":
    unittest.main()
