"""Configuration in force and servers that come and go."""

import unittest

from crocuskeel.core.entry import events
from crocuskeel.core.entry import registry
from tests.entry import support

PAIR = (support.server("s1"), support.server("s2"),
        support.server("s3"), support.server("s4"))


class RegistryTest(unittest.TestCase):
    """What is believed of servers."""

    def setUp(self):
        self.driver = support.Driver(support.route(), servers=PAIR)
        self.host = self.driver.host

    def _remove(self, *sids, after=0.0):
        self.driver.feed(events.ServersChanged((), sids, 9), after)

    def test_a_removed_server_gets_nothing_more(self):
        self._remove("s1")
        self.assertNotIn("s1", self.host.servers)

    def test_servers_that_lapsed_in_an_outage_are_kept_for_a_while(self):
        # The store is down for longer than three heartbeats, so all
        # entries lapse. Callers would get "no server" although all are
        # well, until each has registered again.
        self.driver.feed(events.StoreLost("timeout"))
        self.driver.feed(events.StoreBack(), 5.0)
        self._remove("s1", "s2")
        self.driver.feed(events.Ticked(), 1.0)
        self.assertIn("s1", self.host.servers)
        self.driver.feed(events.ServersChanged((PAIR[0],), (), 10))
        self.driver.feed(events.Ticked(), 0.7)
        self.assertIn("s1", self.host.servers)
        self.assertNotIn("s2", self.host.servers)

    def test_a_lapsed_server_gets_nothing_two_seconds_after(self):
        # One that left for good during the outage looks the same: no
        # request may reach it two seconds after its entry went.
        self.driver.feed(events.StoreLost("timeout"))
        self.driver.feed(events.StoreBack(), 5.0)
        self._remove("s1")
        self.driver.feed(events.Ticked(), 1.65)
        self.assertNotIn("s1", self.host.servers)

    def test_most_of_a_service_at_once_has_lapsed(self):
        # A silent store ends no watch, so a host can't know that it was
        # away; half of a service doesn't leave in one moment unasked.
        self._remove("s1", "s2", "s3")
        self.assertEqual(4, len(self.host.servers))
        self.driver.feed(events.Ticked(), 1.65)
        self.assertEqual(["s4"], list(self.host.servers))

    def test_nothing_lapses_while_the_store_is_away(self):
        self.driver.feed(events.StoreLost("timeout"))
        self._remove("s1")
        self.driver.feed(events.Ticked(), 60.0)
        self.assertIn("s1", self.host.servers)

    def test_a_host_that_was_cut_off_drops_what_others_saw_leave(self):
        # A host loses the store for eight seconds; others read it on and
        # take over. A server leaves as planned. The host took that for a
        # lapse, to be kept until its own store came back, which it no
        # longer read: the server got requests for as long as it lived.
        self.driver.feed(events.StoreLost("refused"))
        self.driver.feed(events.ServersListed(PAIR[1:], 9, ()), 8.0)
        self.assertNotIn("s1", self.host.servers)

    def test_what_lapsed_elsewhere_is_kept_as_long_as_there(self):
        # A host that doesn't read the store can't know that it was away;
        # it would drop servers that are well.
        self.driver.feed(events.ServersListed(
            PAIR[1:], 9, (("s1", 0.9),)))
        self.driver.feed(events.Ticked(), 0.8)
        self.assertIn("s1", self.host.servers)
        self.assertEqual((), registry.lapsing(
            support.Driver(servers=PAIR).host, self.driver.now))
        ((sid, left_s),) = registry.lapsing(self.host, self.driver.now)
        self.assertEqual(("s1", 0.1), (sid, round(left_s, 3)))
        self.driver.feed(events.Ticked(), 0.2)
        self.assertNotIn("s1", self.host.servers)

    def test_a_host_that_stops_reading_waits_no_more_for_the_store(self):
        self.driver.feed(events.StoreLost("refused"))
        self._remove("s1")
        self.driver.feed(events.StoreLeft(), 1.0)
        self.assertIsNone(self.host.store_lost_at)
        self.driver.feed(events.Ticked(), 1.7)
        self.assertNotIn("s1", self.host.servers)

    def test_a_configuration_never_goes_back(self):
        # A stale read, or a slow peer, brings an older one.
        older = support.catalog(support.route("old"), revision=9)
        newer = support.catalog(support.route("new"), revision=11)
        self.driver.feed(events.CatalogSeen(newer))
        self.driver.feed(events.CatalogSeen(older))
        self.assertEqual(11, self.host.catalog.revision)
