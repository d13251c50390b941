"""Which hosts callers are sent to, and who reads the store."""

import math
import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import lifecycle
from tests.entry import support

PAIR = (support.server("s1"), support.server("s2"))


def _heard(name, **kwargs):
    values = {"ready": True, "leaving": False, "catalog_revision": 10,
              "servers_revision": 5, "reads_store": True}
    capacity = kwargs.pop("capacity", 1.0)
    boot = kwargs.pop("boot", 1)
    values.update(kwargs)
    # A reader has all from the store itself; of others nothing is known.
    values.setdefault(
        "informed_s", 0.0 if values["reads_store"] else math.inf)
    return events.Heard(support.peer(name, boot, capacity), **values)


class AddressesTest(unittest.TestCase):
    """What callers are told."""

    def setUp(self):
        self.driver = support.Driver(support.route(), servers=PAIR)

    def _addresses(self):
        return sorted(fleet.addresses(self.driver.host, self.driver.now))

    def test_only_ready_hosts_that_are_heard(self):
        # A host loses power. Callers that are sent there wait a second
        # for a connection that never comes.
        self.driver.feed(_heard("a"))
        self.driver.feed(_heard("b", ready=False))
        self.assertEqual(["a:80", "me:80"], self._addresses())
        self.driver.now += 1.4
        self.assertEqual(["me:80"], self._addresses())

    def test_a_leaving_host_goes_out_at_once(self):
        self.driver.feed(_heard("a"))
        self.driver.feed(_heard("a", leaving=True))
        self.assertEqual(["me:80"], self._addresses())
        self.driver.feed(events.StopAsked())
        self.assertEqual([], self._addresses())

    def test_the_larger_hosts_carry_callers(self):
        # Small hosts have links of 10 Mbit/s: a prompt of 100 kB takes
        # 160 ms through one of them.
        for number in range(6):
            self.driver.feed(_heard(f"big{number}", capacity=2.0))
        for number in range(9):
            self.driver.feed(_heard(f"small{number}", capacity=0.5))
        self.assertEqual([f"big{n}:80" for n in range(6)] + ["me:80"],
                         self._addresses())

    def test_small_hosts_carry_when_larger_ones_are_gone(self):
        for number in range(6):
            self.driver.feed(_heard(f"big{number}", capacity=9.0))
        self.assertEqual(6, len(self._addresses()))
        self.driver.now += 1.0
        for number in range(9):
            self.driver.feed(_heard(f"small{number}", capacity=0.4))
        self.driver.now += 0.5
        self.assertEqual(5, len(self._addresses()))
        self.assertIn("me:80", self._addresses())


class TellTest(unittest.TestCase):
    """What hosts tell each other, and how often."""

    def setUp(self):
        self.driver = support.Driver(support.route(), servers=PAIR)

    def _fleet(self, count, **kwargs):
        for number in range(count):
            self.driver.feed(_heard(f"h{number:02}", **kwargs))

    def test_two_hosts_do_not_answer_each_other_for_ever(self):
        # Each takes the other for a host that is not told otherwise: an
        # answer to each answer would fill their links.
        self._fleet(20, capacity=9.0)
        told = []
        for _ in range(50):
            told += support.only(self.driver.feed(
                _heard("small", capacity=0.1)), effects.Tell)
        self.assertLessEqual(len(told), 1)

    def test_what_is_sent_does_not_grow_with_the_fleet(self):
        counts = []
        for count in (40, 400):
            driver = support.Driver(support.route(), servers=PAIR)
            for number in range(count):
                driver.feed(_heard(f"h{number:03}"))
            driver.now += 0.7
            out = driver.feed(events.Ticked())
            counts.append(len(support.only(out, effects.Tell)))
        self.assertLessEqual(max(counts), 14)

    def test_a_few_hosts_of_many_read_the_store(self):
        self._fleet(20, capacity=9.0)
        host = self.driver.host
        self.assertFalse(fleet.reads_store(host, self.driver.now))
        # No reader is heard any more: this host reads itself.
        self.driver.now += 1.6
        self.assertTrue(fleet.reads_store(host, self.driver.now))

    def test_a_small_host_of_many_waits_for_the_readers_at_its_start(self):
        # All of 73 hosts start together; each read all lists by itself
        # and began watches that it ended a moment later.
        driver = support.Driver()
        driver.feed(events.Started(support.peer("me", capacity=0.1)))
        driver.feed(events.PeersSeen(tuple(
            support.peer(f"h{number}", capacity=9.0)
            for number in range(20))))
        self.assertFalse(fleet.reads_store(driver.host, driver.now))
        # None of them came up.
        driver.now += 1.6
        self.assertTrue(fleet.reads_store(driver.host, driver.now))

    def test_a_large_host_of_many_reads_at_its_start(self):
        driver = support.Driver()
        driver.feed(events.Started(support.peer("me", capacity=9.0)))
        driver.feed(events.PeersSeen(tuple(
            support.peer(f"h{number}", capacity=0.1)
            for number in range(20))))
        self.assertTrue(fleet.reads_store(driver.host, driver.now))

    def test_readers_that_lost_the_store_are_replaced(self):
        self._fleet(20, capacity=9.0, reads_store=False)
        self.assertTrue(fleet.reads_store(
            self.driver.host, self.driver.now))

    def test_a_reader_with_a_silent_watch_asks_a_peer(self):
        # The store turns this host away but leaves its watch open. It
        # would believe itself up to date, and send to a leaving server.
        newer = _heard("a", servers_revision=6)
        out = self.driver.feed(newer)
        self.assertEqual([], support.only(out, effects.FetchCatalog))
        out = self.driver.feed(newer, 0.5)
        self.assertEqual(1, len(support.only(out, effects.FetchCatalog)))

    def test_another_host_that_is_behind_too_changes_nothing(self):
        # Two hosts are cut off from the store. Each hears from the other
        # that nothing is newer, and from a third that something is; one
        # refused a key for seconds that the newest version held.
        newer = _heard("a", servers_revision=6)
        asked = []
        for _ in range(5):
            asked += self.driver.feed(newer, 0.15)
            asked += self.driver.feed(_heard("b"), 0.15)
        self.assertNotEqual([], support.only(asked, effects.FetchCatalog))

    def test_changes_of_servers_hide_no_newer_configuration(self):
        # The watch of the configuration is dead, that of servers is not.
        # Each change of a server began the wait for the store anew.
        asked = []
        for number in range(5):
            asked += self.driver.feed(
                _heard("a", catalog_revision=11), 0.15)
            asked += self.driver.feed(events.ServersChanged(
                PAIR, (), 6 + number), 0.15)
        self.assertNotEqual([], support.only(asked, effects.FetchCatalog))

    def test_a_starting_host_asks_at_once(self):
        driver = support.Driver()
        out = driver.feed(_heard("a"))
        self.assertEqual(1, len(support.only(out, effects.FetchCatalog)))


class StopTest(unittest.TestCase):
    """A planned stop."""

    def test_serves_until_callers_have_turned_away(self):
        driver = support.Driver(support.route(), servers=PAIR)
        driver.arrive()
        driver.feed(events.StopAsked())
        self.assertFalse(fleet.is_ready(driver.host))
        out = driver.feed(events.Ticked(), 2.0)
        self.assertEqual([], support.only(out, effects.Retire))
        out = driver.feed(events.Ticked(), 1.1)
        self.assertEqual(1, len(support.only(out, effects.Retire)))
        self.assertEqual([], support.only(out, effects.Exit))
        driver.feed(events.Answered(1, 0, 200, None, True))
        out = driver.feed(events.Ticked(), 0.3)
        self.assertEqual(1, len(support.only(out, effects.Exit)))

    def test_ends_before_it_would_be_killed(self):
        driver = support.Driver(support.route(), servers=PAIR)
        driver.arrive()
        driver.feed(events.StopAsked())
        late = driver.host.cfg.grace_s - lifecycle.MARGIN_S
        out = driver.feed(events.Ticked(), late)
        self.assertEqual(1, len(support.only(out, effects.Exit)))
