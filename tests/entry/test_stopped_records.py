"""What a host that stops leaves unwritten or untold."""

import unittest

from crocuskeel.core.entry import events
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
                catalog_version=10))

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

    def test_host_with_nothing_to_write_exits_at_once(self):
        host = Host(driver.new_store())
        host.stop()
        self.assertLess(host.exit_s(), 3.5)


if __name__ == "__main__":
    unittest.main()
