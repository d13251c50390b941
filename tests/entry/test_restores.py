"""Servers whose entries come back with a restored copy of the store."""

import dataclasses
import unittest

from crocuskeel.core.entry import draining
from crocuskeel.core.entry import events
from crocuskeel.core.entry import restores
from crocuskeel.core import revisions
from tests.entry import support

SERVERS = tuple(support.server(sid, started_ms=5) for sid in ("s1", "s2"))
RESTORED = revisions.combine(1, 3)


class RestoredEntriesTest(unittest.TestCase):
    """Which of the restored entries are used."""

    def setUp(self):
        self.driver = support.Driver(support.route(), servers=SERVERS)
        self.host = self.driver.host

    def _usable(self):
        return [sid for sid, state in sorted(self.host.servers.items())
                if not draining.is_draining(self.host, state.server)]

    def _restore(self, *servers, **kwargs):
        self.driver.feed(events.ServersListed(servers, RESTORED, **kwargs))

    def test_removed_server_is_used_once_its_entry_outlives_an_expiry(self):
        self.driver.feed(events.ServersChanged((), ("s1",), 9))
        self._restore(*SERVERS)
        self.driver.feed(events.Ticked(), 4.5)
        self.assertEqual(["s2"], self._usable())
        self.driver.feed(events.Ticked(), 0.4)
        self.assertEqual(["s1", "s2"], self._usable())

    def test_removed_server_is_used_once_its_entry_changes(self):
        self.driver.feed(events.ServersChanged((), ("s1",), 9))
        self._restore(*SERVERS)
        self._restore(*SERVERS)
        self.assertEqual(["s2"], self._usable())
        for lapsing, usable in (((), ["s2"]), (None, ["s1", "s2"])):
            self.driver.feed(events.ServersChanged(
                SERVERS[:1], (), RESTORED + 1, lapsing=lapsing))
            self.assertEqual(usable, self._usable())

    def test_removed_server_that_registers_again_in_the_same_era(self):
        self.driver.feed(events.ServersChanged((), ("s1",), 9))
        self.driver.feed(events.ServersChanged(SERVERS[:1], (), 10))
        self.assertEqual(["s1", "s2"], self._usable())

    def test_draining_server_is_remembered_after_its_removal(self):
        # It drains for longer than removed servers are remembered.
        drains = dataclasses.replace(SERVERS[0], draining=True)
        self.driver.feed(events.ServersChanged((drains,), (), 9))
        self.driver.feed(events.Ticked(), draining.RETENTION_S + 1)
        self.driver.feed(events.ServersChanged((), ("s1",), 10))
        self.driver.feed(events.Ticked(), 1.0)
        self._restore(*SERVERS)
        self.driver.feed(events.Ticked(), 6.0)
        self.assertEqual(["s2"], self._usable())
        self.assertEqual((("s1", "s1/5"),), draining.rows(self.host))

    def test_owner_of_a_reused_address_stays_in_use(self):
        # The restored entry of the former owner is not a new owner.
        owner = support.server("s3", address=SERVERS[0].address)
        self.driver.feed(events.ServersChanged((owner,), ("s1",), 9))
        self._restore(*SERVERS, owner)
        self.assertFalse(self.host.servers["s3"].address_reused)

    def test_entry_of_a_former_process_is_ignored(self):
        restarted = dataclasses.replace(SERVERS[0], started_ms=8)
        self.driver.feed(events.ServersChanged((restarted,), (), 9))
        self._restore(*SERVERS)
        self.assertEqual(8, self.host.servers["s1"].server.started_ms)

    def test_removed_servers_are_forgotten(self):
        self.driver.feed(events.ServersChanged((), ("s1",), 9))
        self.driver.feed(events.Ticked(), restores.RETENTION_S + 1)
        self.assertEqual({}, self.host.removed)


if __name__ == "__main__":
    unittest.main()
