"""Which hosts callers are sent to, and which hosts read the store."""

import math
import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import stopping
from crocuskeel.core import revisions
from tests.entry import support

PAIR = (support.server("s1"), support.server("s2"))


def _state(name, **kwargs):
    values = {"ready": True, "leaving": False, "catalog_revision": 10,
              "servers_revision": 5, "reads_store": True}
    capacity = kwargs.pop("capacity", 1.0)
    boot = kwargs.pop("boot", 1)
    values.update(kwargs)
    # A reader's data comes from the store; the age of others' is unknown.
    values.setdefault(
        "store_data_age_s", 0.0 if values["reads_store"] else math.inf)
    return events.PeerStateReceived(support.peer(name, boot, capacity),
                                    **values)


class AddressesTest(unittest.TestCase):
    """The addresses that callers get."""

    def setUp(self):
        self.driver = support.Driver(support.route(), servers=PAIR)

    def _addresses(self):
        return sorted(
            fleet.caller_addresses(self.driver.host, self.driver.now))

    def test_only_ready_hosts_that_are_not_silent(self):
        # After a host's power loss, callers that are sent there wait a
        # second for a connection that never opens.
        self.driver.feed(_state("a"))
        self.driver.feed(_state("b", ready=False))
        self.assertEqual(["a:80", "me:80"], self._addresses())
        self.driver.now += 1.4
        self.assertEqual(["me:80"], self._addresses())

    def test_a_leaving_host_is_removed_at_once(self):
        self.driver.feed(_state("a"))
        self.driver.feed(_state("a", leaving=True))
        self.assertEqual(["me:80"], self._addresses())
        self.driver.feed(events.StopAsked())
        self.assertEqual([], self._addresses())

    def test_the_larger_hosts_serve_callers(self):
        # Small hosts have 10 Mbit/s links: a prompt of 100 kB takes 160 ms
        # through one of them.
        for number in range(6):
            self.driver.feed(_state(f"big{number}", capacity=2.0))
        for number in range(9):
            self.driver.feed(_state(f"small{number}", capacity=0.5))
        self.assertEqual([f"big{n}:80" for n in range(6)] + ["me:80"],
                         self._addresses())

    def test_small_hosts_serve_when_larger_ones_are_gone(self):
        for number in range(6):
            self.driver.feed(_state(f"big{number}", capacity=9.0))
        self.assertEqual(6, len(self._addresses()))
        self.driver.now += 1.0
        for number in range(9):
            self.driver.feed(_state(f"small{number}", capacity=0.4))
        self.driver.now += 0.5
        self.assertEqual(5, len(self._addresses()))
        self.assertIn("me:80", self._addresses())


class StateTest(unittest.TestCase):
    """Datagrams between hosts, and fetches of newer data."""

    def setUp(self):
        self.driver = support.Driver(support.route(), servers=PAIR)

    def _receive_states(self, count, **kwargs):
        for number in range(count):
            self.driver.feed(_state(f"h{number:02}", **kwargs))

    def test_two_hosts_do_not_reply_to_each_other_endlessly(self):
        # Each considers the other a host that it has to reply to: a reply
        # to each reply would saturate their links.
        self._receive_states(20, capacity=9.0)
        replies = []
        for _ in range(50):
            replies += support.effects_of(self.driver.feed(
                _state("small", capacity=0.1)), effects.SendToPeer)
        self.assertLessEqual(len(replies), 1)

    def test_the_number_of_datagrams_does_not_grow_with_the_fleet(self):
        counts = []
        for count in (40, 400):
            driver = support.Driver(support.route(), servers=PAIR)
            for number in range(count):
                driver.feed(_state(f"h{number:03}"))
            driver.now += 0.7
            out = driver.feed(events.Ticked())
            counts.append(len(support.effects_of(out, effects.SendToPeer)))
        self.assertLessEqual(max(counts), 14)

    def test_a_few_hosts_of_many_read_the_store(self):
        self._receive_states(20, capacity=9.0)
        host = self.driver.host
        self.assertFalse(fleet.reads_store(host, self.driver.now))
        # Without any report of a reader this host reads the store itself.
        self.driver.now += 1.6
        self.assertTrue(fleet.reads_store(host, self.driver.now))

    def test_a_small_host_of_many_waits_for_readers_at_its_start(self):
        # When 73 hosts started together, each read all lists itself and
        # opened watches that it closed a moment later.
        driver = support.Driver()
        driver.feed(events.Started(support.peer("me", capacity=0.1)))
        driver.feed(events.PeersListed(tuple(
            support.peer(f"h{number}", capacity=9.0)
            for number in range(20))))
        self.assertFalse(fleet.reads_store(driver.host, driver.now))
        # None of the readers started.
        driver.now += 1.6
        self.assertTrue(fleet.reads_store(driver.host, driver.now))

    def test_a_large_host_of_many_reads_the_store_at_its_start(self):
        driver = support.Driver()
        driver.feed(events.Started(support.peer("me", capacity=9.0)))
        driver.feed(events.PeersListed(tuple(
            support.peer(f"h{number}", capacity=0.1)
            for number in range(20))))
        self.assertTrue(fleet.reads_store(driver.host, driver.now))

    def test_readers_that_lost_the_store_are_replaced(self):
        self._receive_states(20, capacity=9.0, reads_store=False)
        self.assertTrue(fleet.reads_store(
            self.driver.host, self.driver.now))

    def test_a_reader_with_a_stalled_watch_fetches_from_a_peer(self):
        # The store refuses this host's calls but leaves its watch open. The
        # host would assume that its data is current, and send requests to a
        # draining server.
        newer = _state("a", servers_revision=6)
        out = self.driver.feed(newer)
        self.assertEqual([], support.effects_of(out, effects.FetchCatalog))
        out = self.driver.feed(newer, 0.5)
        self.assertEqual(1, len(support.effects_of(out, effects.FetchCatalog)))

    def test_a_peer_that_is_behind_too_does_not_prevent_a_fetch(self):
        # Of two hosts that were cut off from the store, each saw no newer
        # revision at the other and a newer one at a third host; one of them
        # refused for seconds an API key that the newest version has.
        newer = _state("a", servers_revision=6)
        out = []
        for _ in range(5):
            out += self.driver.feed(newer, 0.15)
            out += self.driver.feed(_state("b"), 0.15)
        self.assertNotEqual([], support.effects_of(out, effects.FetchCatalog))

    def test_server_changes_do_not_hide_a_newer_configuration(self):
        # With a dead watch of the configuration and a live one of servers,
        # each change of a server restarted the wait for the store.
        out = []
        for number in range(5):
            out += self.driver.feed(
                _state("a", catalog_revision=11), 0.15)
            out += self.driver.feed(events.ServersChanged(
                PAIR, (), 6 + number), 0.15)
        self.assertNotEqual([], support.effects_of(out, effects.FetchCatalog))

    def test_the_newer_configuration_is_fetched_whatever_its_revision(self):
        # Guards against a configuration that is never fetched because the
        # store was restored and gave it a lower revision.
        for state, fetches in (
                (_state("a", catalog_revision=7, catalog_version=11), True),
                (_state("a", catalog_revision=12, catalog_version=10), False),
                (_state("a", servers_revision=revisions.combine(1, 3),
                        catalog_version=10), True)):
            driver = support.Driver(support.route(), servers=PAIR)
            out = [effect for _ in range(5)
                   for effect in driver.feed(state, 0.15)]
            self.assertEqual(fetches, bool(support.effects_of(
                out, effects.FetchCatalog)))

    def test_a_starting_host_fetches_at_once(self):
        driver = support.Driver()
        out = driver.feed(_state("a"))
        self.assertEqual(1, len(support.effects_of(out, effects.FetchCatalog)))


class StopTest(unittest.TestCase):
    """A planned stop."""

    def test_serves_until_callers_use_other_hosts(self):
        driver = support.Driver(support.route(), servers=PAIR)
        driver.arrive()
        driver.feed(events.StopAsked())
        self.assertFalse(fleet.is_ready(driver.host))
        out = driver.feed(events.Ticked(), 2.0)
        self.assertEqual([], support.effects_of(out, effects.CloseListener))
        out = driver.feed(events.Ticked(), 1.1)
        self.assertEqual(1,
                         len(support.effects_of(out, effects.CloseListener)))
        self.assertEqual([], support.effects_of(out, effects.Exit))
        driver.feed(events.ResponseReceived(1, 0, 200, None, True))
        out = driver.feed(events.Ticked(), 0.3)
        self.assertEqual(1, len(support.effects_of(out, effects.Exit)))

    def test_exits_before_it_would_be_killed(self):
        driver = support.Driver(support.route(), servers=PAIR)
        driver.arrive()
        driver.feed(events.StopAsked())
        deadline_s = driver.host.cfg.grace_s - stopping.EXIT_MARGIN_S
        out = driver.feed(events.Ticked(), deadline_s)
        self.assertEqual(1, len(support.effects_of(out, effects.Exit)))
