"""The lease object after the store was restored from an older copy."""

import json
import unittest

from crocuskeel.core.leadership import effects
from crocuskeel.core.leadership import events
from crocuskeel.core.leadership import lease as leases
from crocuskeel.core import revisions
from tests.leadership import test_lease

Status = events.Status
NOW = test_lease.NOW
LAPSED = NOW + test_lease.SPAN_S + test_lease.MARGIN_S + 0.1


def at(era, number):
    """Return the version with a number in an era."""
    return revisions.combine(era, number)


def holder():
    """Return a candidate that acquired the lease at NOW, in era 1."""
    state = test_lease.candidate()
    test_lease.read_lease(state, at(1, 5), NOW, holder="", nonce="", era=1)
    written(state, state.lease.number, at(1, 6), NOW)
    return state


def written(state, number, version, now):
    """Have a write of a candidate succeed."""
    leases.on_written(state, events.LeaseWritten(
        state.lease.nonce, number, Status.WRITTEN, version), now)


def era_of(write):
    """Return the era of the record in a written object."""
    return json.loads(write.body)["era"]


class HolderTest(unittest.TestCase):
    """What a holder does that finds an older object, or none."""

    def setUp(self):
        self.state = holder()

    def _read(self, number, now, **kwargs):
        return test_lease.read_lease(self.state, at(2, number), now, **kwargs)

    def test_it_reads_the_object_before_the_next_write(self):
        # Guards against a write whose number the restored store has given
        # to the object of another holder.
        leases.note_era(self.state, 2, NOW + 0.1)
        self.assertIsInstance(
            leases.step(self.state, NOW + 0.1)[0], effects.ReadLease)

    def test_valid_lease_is_written_over_the_older_object(self):
        for stored in ({"holder": "x", "nonce": self.state.lease.nonce,
                        "renewals": -1}, {"holder": "z"}, {"nonce": ""}):
            self.state = holder()
            found = self._read(3, NOW + 0.5, era=1, **stored)
            self.assertEqual((at(2, 3), 2), (
                found[-1].version, era_of(found[-1])))
            written(self.state, found[-1].number, at(2, 4), NOW + 0.6)
            self.assertTrue(leases.is_valid(self.state, NOW + 2.9))
            self.assertEqual(at(1, 6), self.state.lease.fence)

    def test_valid_lease_is_written_if_the_copy_has_none(self):
        found = leases.on_read(self.state, events.LeaseRead(
            Status.NOT_FOUND, at(2, 0)), NOW + 0.5)
        self.assertEqual(at(2, 0), found[-1].version)

    def test_lease_that_another_host_wrote_in_the_new_era_is_lost(self):
        self._read(9, NOW + 0.5, era=2)
        self.assertFalse(self.state.lease.holding)

    def test_lapsed_lease_is_lost_though_the_copy_has_it(self):
        # Guards against two holders: the one that acquired the lease since
        # then is missing in the copy.
        for now in (LAPSED, LAPSED + 3.0):
            self.state = holder()
            found = self._read(6, now, era=1, holder="x", renewals=0,
                               nonce=self.state.lease.nonce)
            self.assertFalse(self.state.lease.holding)
            self.assertEqual([], [each for each in found if isinstance(
                each, effects.WriteLease)])

    def test_renewal_of_a_lapsed_lease_is_not_relied_on_after_a_restore(self):
        # Guards against two holders: the number of the late write is valid
        # again, and another host acquired the lease before the restore.
        for valid, now in ((True, NOW + 1.5), (False, LAPSED)):
            self.state = holder()
            write = leases.step(self.state, NOW + 1.1)[-1]
            written(self.state, write.number, at(2, 7), now)
            self.assertEqual(valid, leases.is_valid(self.state, now))

    def test_lapsed_holder_reads_the_object_before_it_writes(self):
        # Guards against a renewal at a number that is valid again, of a
        # holder that was paused while another one acquired the lease.
        found = leases.step(self.state, LAPSED)
        self.assertIsInstance(found[-1], effects.ReadLease)
        found = test_lease.read_lease(
            self.state, at(1, 6), LAPSED, holder="x", renewals=0, era=1,
            nonce=self.state.lease.nonce)
        self.assertIsInstance(found[-1], effects.WriteLease)


class CandidateTest(unittest.TestCase):
    """What a process does that may acquire the lease."""

    def setUp(self):
        self.state = test_lease.candidate()

    def _read(self, version, now, **kwargs):
        return test_lease.read_lease(self.state, version, now, **kwargs)

    def test_lease_that_only_the_copy_shows_as_free_is_not_acquired(self):
        # Guards against two holders: one acquired the lease after the copy
        # was taken, and may act until its span is over.
        free = {"holder": "", "nonce": "", "era": 1}
        self.assertEqual([], self._read(at(2, 5), NOW, **free))
        found = self._read(at(2, 5), LAPSED, **free)
        self.assertIsInstance(found[-1], effects.WriteLease)

    def test_lease_that_was_released_in_this_era_is_acquired_at_once(self):
        found = self._read(at(2, 5), NOW, holder="", nonce="", era=2)
        self.assertIsInstance(found[-1], effects.WriteLease)

    def test_acquired_object_keeps_the_era_of_its_record(self):
        # Guards against a next holder that takes the copy's record for
        # complete, if this one is killed before its first renewal.
        self._read(at(2, 5), NOW, era=1)
        write = self._read(at(2, 5), LAPSED, era=1)[-1]
        self.assertEqual(1, era_of(write))
        written(self.state, write.number, at(2, 6), LAPSED)
        renewal = leases.step(self.state, LAPSED)[-1]
        self.assertEqual(2, era_of(renewal))

    def test_acquisition_that_is_done_after_a_restore_is_not_used(self):
        # Guards against two holders, as above; also if its answer is lost.
        self._read(at(1, 5), NOW)
        write = self._read(at(1, 5), LAPSED)[-1]
        written(self.state, write.number, at(2, 6), LAPSED)
        self.assertFalse(self.state.lease.holding)
        for later, acquires in ((0.1, False), (3.7, True)):
            found = self._read(at(2, 6), LAPSED + later, holder="x", era=1,
                               nonce=write.nonce, renewals=write.number)
            self.assertEqual(acquires, bool(found))
        self.state = test_lease.candidate()
        self._read(at(1, 5), NOW)
        write = self._read(at(1, 5), LAPSED)[-1]
        self._read(at(2, 6), LAPSED, holder="x", era=1, nonce=write.nonce,
                   renewals=write.number)
        self.assertFalse(self.state.lease.holding)

    def test_tokens_rise_over_a_restore(self):
        first = holder().lease.fence
        self._read(at(2, 3), NOW, era=1)
        write = self._read(at(2, 3), LAPSED, era=1)[-1]
        written(self.state, write.number, at(2, 4), LAPSED)
        self.assertGreater(self.state.lease.fence, first)


if __name__ == "__main__":
    unittest.main()
