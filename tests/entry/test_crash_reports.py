"""What hosts tell each other of crashes."""

import unittest

from crocuskeel.core.entry import crash_records
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import quarantine
from crocuskeel.gateway import gossip
from tests.entry import crash_driver
from tests.entry import support


class PeersTest(unittest.TestCase):
    """What hosts tell each other of crashes."""

    def _pair(self):
        fleets = tuple(crash_driver.CrashDriver(name=name)
                       for name in ("h0", "h1"))
        for fleet in fleets:
            fleet.feed(events.PeersListed(
                (support.peer("h0"), support.peer("h1"))))
        self._exchange(*fleets)
        self._exchange(*fleets)
        return fleets

    def _exchange(self, one, other):
        for sender, receiver in ((one, other), (other, one)):
            receiver.now = sender.now = max(one.now, other.now)
            receiver.feed(sender.state())

    def test_loss_is_sent_at_once(self):
        one, other = self._pair()
        out = one.lose("p", "s1")
        (report,) = [effect.event for effect
                     in support.effects_of(out, effects.SendToPeer)
                     if type(effect.event) is events.CrashReportsReceived]
        other.feed(report)
        other.lose("p", "s2")
        self.assertIsNone(other.send("p"))

    def test_crashes_at_two_hosts_add_up(self):
        one, other = self._pair()
        one.crash("s1", "p")
        other.crash("s2", "p")
        self._exchange(one, other)
        self.assertTrue(one.is_quarantined("p"))
        self.assertTrue(other.is_quarantined("p"))

    def test_hosts_do_not_keep_a_quarantine_alive(self):
        # A crash that was heard of counted from when it was heard, and was
        # told on: of two hosts each renewed the quarantine for the other.
        one, other = self._pair()
        one.crash("s1", "i")
        one.crash("s2", "i")
        until = one.now + quarantine.CULPRIT_S
        while one.now < until + 1.0:
            self._exchange(one, other)
            one.now += 0.3
        for fleet in (one, other):
            self.assertFalse(fleet.is_quarantined("i"))

    def test_host_that_has_started_learns_of_a_quarantine(self):
        # Hosts told each other a crash for two seconds only.
        one, other = self._pair()
        one.crash("s1", "p")
        one.crash("s2", "p")
        for _ in range(30):
            self._exchange(one, other)
            one.now += 0.3
        started = crash_driver.CrashDriver(name="h2")
        started.now = one.now
        started.feed(one.state())
        self.assertTrue(started.is_quarantined("p"))

    def test_refuted_crash_is_refuted_at_other_hosts(self):
        one, other = self._pair()
        for sid in ("s1", "s2"):
            one.lose("i", sid)
            crash_driver.refused(one, sid)
        self._exchange(one, other)
        self.assertTrue(other.is_quarantined("i"))
        key = one.send("other", "s1")
        one.host.pending[key].attempts[0].sent_at = one.now + 1.0
        one.answer(key, after=1.1)
        self._exchange(one, other)
        self.assertFalse(other.is_quarantined("i"))

    def test_request_that_another_host_served_is_no_cause(self):
        one, other = self._pair()
        other.answer(other.send("i", "s5"), after=0.1)
        one.now = other.now
        one.crash("s1", "i")
        one.crash("s2", "i")
        self.assertTrue(one.is_quarantined("i"))
        self._exchange(one, other)
        self._exchange(one, other)
        self.assertFalse(one.is_quarantined("i"))

    def test_crashes_of_the_former_version_count(self):
        one, _ = self._pair()
        for _ in range(3):
            one.feed(events.PeerStateReceived(
                support.peer("old"), True, False, 10, 5,
                tuple((support.full_digest("p"), incarnation)
                      for incarnation in ("s1/None", "s2/None"))), 0.3)
        self.assertTrue(one.is_quarantined("p"))
        self.assertEqual(
            {crash_records.Sign.REFUSED},
            {crash.sign for crash in one.host.crash_records.crashes.values()})

    def test_state_stays_small_after_many_crashes(self):
        one, _ = self._pair()
        for number in range(300):
            one.feed(events.PeerStateReceived(
                support.peer("old"), True, False, 10, 5,
                tuple((f"d{number}-{each}", f"x{number}/None")
                      for each in range(10))))
        self.assertLessEqual(len(one.state().crash_reports), 200)
        self.assertLessEqual(len(one.host.crash_records.crashes), 256)


class TrafficTest(unittest.TestCase):
    """Reports don't crowd out what hosts tell each other of their loads.

    When many servers crashed or were slow at once, hosts told each other so
    much of it that the links of small hosts were full: load updates came
    late, and hosts sent requests to servers that had no room.
    """

    # The slowest link has 5 Mbit/s. A host of 73 sends 106 states and updates
    # a second, which may take a third of that.
    MAX_BYTES = 2_000

    def _fleet(self):
        fleet = crash_driver.CrashDriver(count=40)
        self.other = crash_driver.CrashDriver(name="h1")
        for each in (fleet, self.other):
            each.feed(events.PeersListed(
                (support.peer("me"), support.peer("h1"))))
        fleet.feed(self.other.state())
        return fleet

    def _give_up(self, fleet, key):
        fleet.now = fleet.host.pending[key].deadline_at
        fleet.feed(events.TimerFired(key))
        fleet.feed(self.other.state())

    def _rows(self, fleet):
        return fleet.state().crash_reports

    def test_wave_of_crashes_fits_a_small_link(self):
        fleet = self._fleet()
        for number in range(40):
            for other in range(5):
                fleet.lose(f"{number}.{other}", f"s{number}")
        for number in range(40):
            fleet.remove(f"s{number}")
        self.assertLess(len(gossip.encode(fleet.state())), self.MAX_BYTES)
        (update,) = [effect.event for effect in support.effects_of(
            fleet.feed(events.LoadsDue()), effects.SendToPeer)
            if type(effect.event) is events.CrashReportsReceived]
        self.assertLess(len(gossip.encode(update)), self.MAX_BYTES)

    def test_request_that_was_lost_twice_is_told_first(self):
        fleet = self._fleet()
        for sid in ("s0", "s1"):
            fleet.lose("p", sid)
        for number in range(2, 40):
            for other in range(5):
                fleet.lose(f"{number}.{other}", f"s{number}")
        told = {(row[2], row[3]) for row in self._rows(fleet)}
        digest = support.full_digest("p")
        self.assertLessEqual({(digest, "s0"), (digest, "s1")}, told)

    def test_attempt_that_was_given_up_is_told_once_its_server_is_gone(self):
        # Under overload hosts give up many attempts at servers that are well.
        fleet = self._fleet()
        self._give_up(fleet, fleet.send("p", "s1"))
        self.assertEqual((), self._rows(fleet))
        fleet.answer(fleet.send("i", "s1"), after=0.1)
        self.assertEqual((), self._rows(fleet))
        self._give_up(fleet, fleet.send("p", "s2"))
        fleet.remove("s2")
        self.assertEqual({"crashed"}, {row[0] for row in self._rows(fleet)})


if __name__ == "__main__":
    unittest.main()
