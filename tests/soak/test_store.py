"""The soak's stand-in of the store."""

import unittest

from tools.soak import store as stores
from twisted.internet import task


class OutageTest(unittest.TestCase):
    """Outages that overlap."""

    def test_the_end_of_one_outage_does_not_end_another(self):
        # A stream runs on three servers: an outage in which entries lapse
        # is ended by one that began before, the entries come back 3 s after
        # the store, and hosts take the servers for gone.
        store = stores.Store(task.Clock())
        store.set_down(True)
        store.set_down(True)
        store.set_down(False)
        self.assertTrue(store.down)
        store.set_down(False)
        self.assertFalse(store.down)


if __name__ == "__main__":
    unittest.main()
