"""The lease by itself: what is heard of it, its record, its rest."""

import json
import random
import unittest

from crocuskeel.core import leadership
from crocuskeel.core.leadership import effects
from crocuskeel.core.leadership import events
from crocuskeel.core.leadership import lease as leases

Status = events.Status
NOW = 1000.0
SPAN_S, MARGIN_S = 3.0, 0.5


def candidate(**kwargs):
    """Return a process that may hold the lease."""
    cfg = leadership.Config("x", span_s=SPAN_S, margin_s=MARGIN_S,
                            renew_s=1.0, rest_s=3.5)
    return leadership.Candidate(cfg=cfg, rng=random.Random(1), **kwargs)


def stored(**kwargs):
    """Return the bytes of a lease of host y."""
    values = {"holder": "y", "nonce": "n", "renewals": 4,
              "span_s": SPAN_S, "order_s": 1.0, "record": None}
    return json.dumps({**values, **kwargs}).encode()


def read(state, version, now, **kwargs):
    """Have a process read the object; return the effects."""
    return leases.on_read(state, events.LeaseRead(
        Status.FOUND, version, stored(**kwargs)), now)


def held(record=None):
    """Return a process that has just acquired the lease."""
    state = candidate()
    read(state, 5, NOW, holder="", nonce="", record=record)
    write = state.lease
    leases.on_written(state, events.LeaseWritten(
        write.nonce, write.number, Status.WRITTEN, 6), NOW + 0.01)
    return state


class HearTest(unittest.TestCase):
    """What other processes say of the object's version."""

    def test_the_span_counts_from_when_a_version_was_heard(self):
        state = candidate()
        leases.hear(state, 7, NOW)
        self.assertEqual([], read(state, 7, NOW + 3.4))
        found = read(state, 7, NOW + 3.6)
        self.assertEqual(7, found[0].version)

    def test_a_renewal_that_was_not_heard_begins_the_span_anew(self):
        # Two holders: a candidate counts from what it heard, and does not
        # see in the object that the holder has renewed since.
        state = candidate()
        leases.hear(state, 7, NOW)
        self.assertEqual([], read(state, 8, NOW + 3.6))
        self.assertEqual([], read(state, 8, NOW + 7.0))
        self.assertEqual(1, len(read(state, 8, NOW + 7.2)))

    def test_an_old_word_changes_nothing(self):
        state = candidate()
        leases.hear(state, 7, NOW)
        leases.hear(state, 6, NOW + 1)
        leases.hear(state, 7, NOW + 1)
        self.assertEqual(NOW, state.lease.seen_at)


class RecordTest(unittest.TestCase):
    """What one holder leaves to the next."""

    def test_it_is_taken_over_with_the_lease(self):
        state = held({"done": 3})
        self.assertEqual({"done": 3}, state.lease.record)
        self.assertEqual({"done": 3}, state.lease.kept)

    def test_it_counts_as_kept_only_when_its_write_is_known(self):
        # A window is reported with counts that the next holder doesn't
        # know, and reports otherwise: its write was lost.
        state = held({"done": 3})
        state.lease.record = {"done": 4}
        write = leases.step(state, NOW + 1.1)[0]
        self.assertIsInstance(write, effects.WriteLease)
        leases.on_written(state, events.LeaseWritten(
            write.nonce, write.number, Status.UNKNOWN), NOW + 2)
        self.assertEqual({"done": 3}, state.lease.kept)
        state.lease.record = {"done": 5}
        read(state, 7, NOW + 2.1, holder="x", nonce=write.nonce,
             renewals=write.number)
        self.assertEqual({"done": 4}, state.lease.kept)


class RestTest(unittest.TestCase):
    """A process that held the lease lets others go first."""

    def test_not_acquired_soon_after_it_was_lost(self):
        state = held()
        read(state, 9, NOW + 1.0)
        self.assertFalse(state.lease.holding)
        self.assertEqual([], read(
            state, 10, NOW + 2.0, holder="", nonce=""))
        self.assertEqual(1, len(read(
            state, 10, NOW + 4.6, holder="", nonce="")))

    def test_not_acquired_soon_after_a_start(self):
        state = candidate(rests_until=NOW + 3.5)
        self.assertEqual([], read(state, 5, NOW, holder="", nonce=""))


if __name__ == "__main__":
    unittest.main()
