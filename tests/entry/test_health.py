"""Servers that refuse connections or whose address was reused."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from tests.entry import support

PAIR = (support.server("s1"), support.server("s2"))


class RefusedTest(unittest.TestCase):
    """A server that refuses connections."""

    def setUp(self):
        self.driver = support.Driver(support.route(), servers=PAIR)
        self.driver.feed(events.PeerStateReceived(
            support.peer(), True, False, 10, 5, reads_store=True))
        self.host = self.driver.host

    def _sid(self, key):
        return self.host.pending[key].attempts[-1].sid

    def test_other_hosts_are_notified_immediately(self):
        # After eight engines crashed, each of six hosts detected it by its
        # own requests: 661 requests to dead engines in four seconds.
        self.driver.arrive()
        sid = self._sid(1)
        out = self.driver.feed(events.AttemptFailed(
            1, 0, model.Outcome.REFUSED, "refused"), 0.01)
        (sent,) = [effect.event for effect
                   in support.effects_of(out, effects.SendToPeer)]
        self.assertEqual((sid,), sent.refused)

    def test_a_report_counts_only_without_requests_at_the_server(self):
        # A host that is cut off from a server sees it refuse connections,
        # too; a host that gets responses from it has better information.
        self.driver.arrive()
        used = self._sid(1)
        other = ({"s1", "s2"} - {used}).pop()
        self.driver.feed(events.PeerLoadsReceived("host-1", (), ("s1", "s2")))
        self.assertEqual(0.0, self.host.servers[used].suspect_until)
        self.assertLess(self.driver.now,
                        self.host.servers[other].suspect_until)

    def test_a_server_whose_address_was_reused_gets_no_requests(self):
        # A new engine reused a crashed one's address at once. The old entry
        # remained for seconds and attracted 409 requests, as it appeared to
        # hold the prompt parts that they needed.
        self.driver.arrive()
        sid = self._sid(1)
        self.driver.feed(events.AttemptFailed(
            1, 0, model.Outcome.MISDIRECTED, "421"), 0.01)
        self.driver.now += 30.0
        for key in range(2, 12):
            self.driver.arrive(key)
            self.assertNotEqual(sid, self._sid(key))
        # Another host's list contains the unchanged entry once more.
        self.driver.feed(events.ServersListed(PAIR, 9, ()))
        self.assertTrue(self.host.servers[sid].address_reused)
        self.driver.feed(events.ServersChanged(
            (support.server(sid, slots=9),), (), 10))
        self.assertFalse(self.host.servers[sid].address_reused)

    def test_a_new_entry_with_an_address_marks_the_old_one(self):
        # A crashed engine returned under a new id before its old entry
        # expired, and requests to the old entry reached the new engine.
        new = support.server("s3", address=("10.0.0.1", 99))
        old = support.server("s1", address=("10.0.0.1", 99))
        self.driver.feed(events.ServersChanged((old,), (), 8))
        self.driver.feed(events.ServersChanged((new,), (), 9))
        self.assertTrue(self.host.servers["s1"].address_reused)
        self.assertFalse(self.host.servers["s3"].address_reused)
