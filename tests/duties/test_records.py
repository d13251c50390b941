"""Tests of a holder that finds an unreadable record in the lease object."""

import json
import unittest

from tests.duties import world as worlds


class RecordTest(unittest.TestCase):
    """The record was written by another program or another version."""

    def test_duties_go_on_after_a_record_that_cannot_be_read(self):
        # Guards against reports that stop permanently, which occurs if
        # each new holder fails on a record that it assumes to be valid.
        world = worlds.World(scaling=worlds.scaling(),
                             engines=worlds.engines())
        world.run(12)
        version, body = world.lease
        record = {"done": [], "decided": {}, "asked": [], "tables": []}
        altered = {**json.loads(body), "record": record}
        world.lease = version + 1, json.dumps(altered).encode()
        world.version += 1
        world.kill(json.loads(body)["holder"], 30.0)
        seen = len(world.arrivals)
        world.run(25)
        self.assertGreater(len(world.arrivals), seen)
        self.assertEqual([], worlds.platform_faults(world))
        lines = [event for host in world.hosts.values()
                 for event, _ in host.lines]
        self.assertIn("bad_record", lines)


if __name__ == "__main__":
    unittest.main()
