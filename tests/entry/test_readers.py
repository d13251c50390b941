"""Which hosts of a large fleet read the store, and that all get updates."""

import unittest

from bench import hosts
from crocuskeel.core.entry import fleet

LARGE = 15
SMALL = 45
# Number of readers in normal operation, whatever the size of the fleet.
NORMAL_READERS = fleet.READERS


class ReadersTest(unittest.TestCase):
    """Calls to the store grow with changes, not with hosts."""

    def setUp(self):
        self.world = hosts.new_world(LARGE, SMALL)
        self.world.run(4)

    def test_hosts_that_hear_no_reader_directly(self):
        # Each small host hears three of fifteen serving hosts, of which
        # three are readers: half of the small hosts hear none. These read
        # the store permanently, with two watches each, and the store sent
        # each change to all of them.
        self.assertEqual(NORMAL_READERS, len(self.world.readers()))
        calls = self.world.calls
        self.world.run(4)
        self.assertLess((self.world.calls - calls) / 4, 2 * NORMAL_READERS)

    def test_a_change_reaches_all_hosts(self):
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
        self.assertEqual(NORMAL_READERS, len(self.world.readers()))

    def test_hosts_that_are_cut_off_from_all_readers(self):
        # A third of the small hosts hear only each other, but reach the
        # store. They read it themselves until the partition ends.
        small = [name for name in self.world.hosts if "small" in name]
        self.world.cut = set(small[:SMALL // 3])
        self.world.run(2.5)
        self.world.configure()
        self.world.run(1)
        self.assertEqual([], self.world.behind())
        self.world.cut = set()
        self.world.run(4)
        self.assertEqual(NORMAL_READERS, len(self.world.readers()))

    def test_a_host_that_is_behind_reports_the_age_of_its_data(self):
        # A serving host learns of newer data and can't fetch it. Hosts that
        # consider its data current would wait for it for ever.
        host = self.world.hosts["small-0"]
        self.assertLess(fleet.store_data_age_s(host, self.world.now), 2)
        host.catalog_behind_at = self.world.now - 5
        self.assertGreaterEqual(
            fleet.store_data_age_s(host, self.world.now), 5)
