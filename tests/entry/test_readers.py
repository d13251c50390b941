"""Which hosts of a large fleet read the store, and that all are told."""

import unittest

from bench import hosts
from crocuskeel.core.entry import fleet

LARGE = 15
SMALL = 45
# Readers that a calm fleet has, of however many hosts.
CALM = fleet.READERS


class ReadersTest(unittest.TestCase):
    """Calls to the store grow with changes and not with hosts."""

    def setUp(self):
        self.world = hosts.new_world(LARGE, SMALL)
        self.world.run(4)

    def test_hosts_that_hear_no_reader_themselves(self):
        # Each small host hears three of fifteen carriers, of which three
        # read: half of them hear none. These followed the store for good,
        # two watches each, and each change was told to all of them.
        self.assertEqual(CALM, len(self.world.readers()))
        calls = self.world.calls
        self.world.run(4)
        self.assertLess((self.world.calls - calls) / 4, 2 * CALM)

    def test_a_change_is_in_force_everywhere(self):
        self.world.configure()
        self.world.run(2)
        self.assertEqual([], self.world.behind())

    def test_all_readers_are_lost_at_once(self):
        self.world.stop(self.world.readers())
        self.world.run(0.5)
        self.world.configure()
        self.world.run(3)
        self.assertEqual([], self.world.behind())
        self.world.run(3)
        self.assertEqual(CALM, len(self.world.readers()))

    def test_hosts_that_are_cut_off_from_all_readers(self):
        # A third of the small hosts hears only itself, and reaches the
        # store. They read it for themselves until the cut is over.
        small = [name for name in self.world.hosts if "small" in name]
        self.world.cut = set(small[:SMALL // 3])
        self.world.run(2.5)
        self.world.configure()
        self.world.run(1)
        self.assertEqual([], self.world.behind())
        self.world.cut = set()
        self.world.run(4)
        self.assertEqual(CALM, len(self.world.readers()))

    def test_one_that_is_behind_tells_nobody_that_it_knows(self):
        # A carrier hears that there is something newer and can't get it.
        # Hosts that it tells would wait for it for good.
        host = self.world.hosts["small-0"]
        self.assertLess(fleet.informed_s(host, self.world.now), 2)
        host.catalog_behind_at = self.world.now - 5
        self.assertGreaterEqual(
            fleet.informed_s(host, self.world.now), 5)
