"""Tests of the lease: reported versions, its record, the cooldown."""

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
                            renew_s=1.0, cooldown_s=3.5)
    return leadership.Candidate(cfg=cfg, rng=random.Random(1), **kwargs)


def stored(**kwargs):
    """Return the body of a lease object held by host y."""
    values = {"holder": "y", "nonce": "n", "renewals": 4,
              "span_s": SPAN_S, "order_s": 1.0, "record": None}
    return json.dumps({**values, **kwargs}).encode()


def read_lease(state, version, now, **kwargs):
    """Have a candidate read the object; return the effects."""
    return leases.on_read(state, events.LeaseRead(
        Status.FOUND, version, stored(**kwargs)), now)


def new_holder(record=None):
    """Return a candidate that has just acquired the lease."""
    state = candidate()
    read_lease(state, 5, NOW, holder="", nonce="", record=record)
    write = state.lease
    leases.on_written(state, events.LeaseWritten(
        write.nonce, write.number, Status.WRITTEN, 6), NOW + 0.01)
    return state


class ReportedVersionTest(unittest.TestCase):
    """Versions of the object that other processes report."""

    def test_the_span_counts_from_when_a_version_was_reported(self):
        state = candidate()
        leases.note_version(state, 7, NOW)
        self.assertEqual([], read_lease(state, 7, NOW + 3.4))
        found = read_lease(state, 7, NOW + 3.6)
        self.assertEqual(7, found[0].version)

    def test_a_renewal_that_was_not_reported_restarts_the_span(self):
        # Guards against two holders, which occurs if a candidate counts
        # the span from a reported version although the object shows that
        # the holder has renewed the lease since.
        state = candidate()
        leases.note_version(state, 7, NOW)
        self.assertEqual([], read_lease(state, 8, NOW + 3.6))
        self.assertEqual([], read_lease(state, 8, NOW + 7.0))
        self.assertEqual(1, len(read_lease(state, 8, NOW + 7.2)))

    def test_an_older_version_changes_nothing(self):
        state = candidate()
        leases.note_version(state, 7, NOW)
        leases.note_version(state, 6, NOW + 1)
        leases.note_version(state, 7, NOW + 1)
        self.assertEqual(NOW, state.lease.seen_at)


class RecordTest(unittest.TestCase):
    """The record that one holder hands over to the next."""

    def test_it_is_taken_over_with_the_lease(self):
        state = new_holder({"done": 3})
        self.assertEqual({"done": 3}, state.lease.record)
        self.assertEqual({"done": 3}, state.lease.committed_record)

    def test_it_is_committed_only_when_its_write_is_confirmed(self):
        # Guards against two different reports of a window, which occur if
        # a holder reports counts whose write was lost, so that the next
        # holder doesn't know them.
        state = new_holder({"done": 3})
        state.lease.record = {"done": 4}
        write = leases.step(state, NOW + 1.1)[0]
        self.assertIsInstance(write, effects.WriteLease)
        leases.on_written(state, events.LeaseWritten(
            write.nonce, write.number, Status.UNKNOWN), NOW + 2)
        self.assertEqual({"done": 3}, state.lease.committed_record)
        state.lease.record = {"done": 5}
        read_lease(state, 7, NOW + 2.1, holder="x", nonce=write.nonce,
                   renewals=write.number)
        self.assertEqual({"done": 4}, state.lease.committed_record)


class CooldownTest(unittest.TestCase):
    """A process that held the lease lets others acquire it first."""

    def test_not_acquired_soon_after_it_was_lost(self):
        state = new_holder()
        read_lease(state, 9, NOW + 1.0)
        self.assertFalse(state.lease.holding)
        self.assertEqual([], read_lease(
            state, 10, NOW + 2.0, holder="", nonce=""))
        self.assertEqual(1, len(read_lease(
            state, 10, NOW + 4.6, holder="", nonce="")))

    def test_not_acquired_soon_after_a_start(self):
        state = candidate(cooldown_until=NOW + 3.5)
        self.assertEqual([], read_lease(state, 5, NOW, holder="", nonce=""))


if __name__ == "__main__":
    unittest.main()
