"""What a host that stops leaves unwritten or untold."""

import unittest

from crocuskeel.core.duties import model as duties_model
from crocuskeel.core.duties import state as duties_state
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import record_effects
from tests.entry import crash_store_driver as driver
from tests.entry import support


class Host(driver.Host):
    """A host whose others are stopping, too."""

    leaving = False

    def hear(self):
        """Receive the states of the other hosts."""
        for other in self.others:
            self.feed(events.PeerStateReceived(
                support.peer(other), not self.leaving, self.leaving, 10, 5,
                catalog_version=10, crash_reports=()))

    def stop(self):
        """Ask this host and all others to stop."""
        self.leaving = True
        self.hear()
        return self.feed(events.StopAsked())

    def exit_s(self):
        """Return how long it takes to exit, s."""
        since = self.now
        while not self.host.exited:
            self.tick()
        return self.now - since


def named(rank, store):
    """Return a host before which so many others come."""
    name = driver.ranked_host(rank).host.self_peer.name
    return Host(store, name, [each for each in ("me", *driver.OTHERS)
                              if each != name])


class CrashesTest(unittest.TestCase):
    """Guards against crashes that are forgotten as all hosts stop.

    The next hosts counted the crashes of a request from none, so that it
    crashed more servers.
    """

    def _digests(self, store):
        return {row.digest for row in store.crashes}

    def test_crash_after_the_stop_is_written(self):
        for others in ((), driver.OTHERS):
            store = driver.new_store()
            host = (named(0, store) if others else Host(store))
            host.stop()
            host.tick()
            host.crash("s0", "p")
            host.tick()
            with self.subTest(others=len(others)):
                self.assertEqual({support.full_digest("p")},
                                 self._digests(store))

    def test_others_that_stop_write_what_the_first_has_not(self):
        store = driver.new_store()
        host = named(1, store)
        host.stop()
        host.crash("s0", "p")
        for _ in range(10):
            host.tick()
        self.assertEqual({support.full_digest("p")}, self._digests(store))

    def test_hosts_that_stay_write_before_those_that_stop(self):
        store = driver.new_store()
        host = named(0, store)
        host.feed(events.StopAsked())
        host.crash("s0", "p")
        for _ in range(15):
            host.tick()
        self.assertEqual([], store.calls_of(record_effects.WriteCrashes))

    def test_host_waits_for_the_write_before_it_exits(self):
        store = driver.new_store()
        host = Host(store)
        store.is_full = True
        host.crash("s0", "p")
        host.stop()
        while host.now < host.host.stop_at + 3.2:
            self.assertFalse(host.host.exited)
            host.tick()
        store.is_full = False
        self.assertLess(host.exit_s(), 2.0)
        self.assertEqual({support.full_digest("p")}, self._digests(store))

    def test_host_that_can_not_write_exits_in_time(self):
        store = driver.new_store()
        host = Host(store)
        store.is_full = True
        host.crash("s0", "p")
        host.stop()
        self.assertLess(host.exit_s(), host.host.cfg.grace_s)

    def test_others_hear_of_crashes_just_before_the_exit(self):
        host = named(0, None)
        host.feed(events.StopAsked())
        host.feed(events.Ticked(0.0), 2.99)
        host.hear()
        for number in range(2):
            host.lose(f"p{number}", f"s{number}")
        out = host.feed(events.StopDue(), 0.02)
        self.assertEqual(1, len(support.effects_of(out, effects.Exit)))
        told = [row[2] for effect in support.effects_of(
            out, effects.SendToPeer) if effect.peer.name == host.others[0]
            and type(effect.event) is events.CrashReportsReceived
            for row in effect.event.reports]
        self.assertIn(support.full_digest("p1"), told)

    def test_host_with_nothing_to_write_exits_at_once(self):
        host = Host(driver.new_store())
        host.stop()
        self.assertLess(host.exit_s(), 3.5)


class UsageTest(unittest.TestCase):
    """Guards against requests that count nowhere as a host stops."""

    def _driver(self, holder):
        found = support.Driver(
            support.route(), servers=(support.server("i-1"), ), name="me",
            duties=frozenset({"usage"}))
        found.feed(events.PeersListed(tuple(map(
            support.peer, ("me", "a", "b")))))
        for name in ("a", "b"):
            found.feed(events.PeerStateReceived(
                support.peer(name), True, False, 10, 5, catalog_version=10,
                leader=duties_state.Leader(3, holder, 3)))
        found.feed(events.Ticked(driver.WALL_S))
        return found

    def _serve(self, found, key=1):
        found.arrive(key)
        found.feed(events.HintsReceived(key, 0, model.Hints()), 0.05)
        found.feed(events.ResponseReceived(key, 0, 200, None, True))

    def _told(self, out):
        return {effect.peer.name: sum(
            count for _, rows in effect.event.rows for _, count in rows)
            for effect in support.effects_of(out, effects.SendToPeer)
            if type(effect.event) is duties_model.Usage}

    def test_last_requests_are_counted_at_the_exit(self):
        # The exit comes between two ticks, which send the counts.
        found = self._driver("a")
        found.feed(events.StopAsked())
        found.feed(events.Ticked(driver.WALL_S), 2.9)
        self._serve(found)
        out = found.feed(events.StopDue(), 0.06)
        self.assertEqual(1, len(support.effects_of(out, effects.Exit)))
        self.assertEqual({"a": 1}, self._told(out))

    def test_next_holder_gets_the_counts_while_nobody_holds_the_lease(self):
        found = self._driver("")
        self._serve(found)
        out = found.feed(events.Ticked(driver.WALL_S), 0.3)
        self.assertEqual([1], list(self._told(out).values()))


if __name__ == "__main__":
    unittest.main()
