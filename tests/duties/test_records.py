"""A holder that finds what it can't read in the lease's object."""

import json
import unittest

from tests.duties import world as worlds


class RecordTest(unittest.TestCase):
    """Another program, or another version, wrote the record."""

    def test_duties_go_on_after_a_record_that_cannot_be_read(self):
        # Reports stop for good: each new holder fails on the record of
        # the one before. Cause: a record is taken to be one of ours.
        world = worlds.World(scaling=worlds.scaling(),
                             engines=worlds.engines())
        world.run(12)
        version, body = world.lease
        record = {"done": [], "decided": {}, "asked": [], "tables": []}
        spoiled = {**json.loads(body), "record": record}
        world.lease = version + 1, json.dumps(spoiled).encode()
        world.version += 1
        world.kill(json.loads(body)["holder"], 30.0)
        seen = len(world.arrivals)
        world.run(25)
        self.assertGreater(len(world.arrivals), seen)
        self.assertEqual([], worlds.faults_of_one(world))
        lines = [event for host in world.hosts.values()
                 for event, _ in host.lines]
        self.assertIn("bad_record", lines)


if __name__ == "__main__":
    unittest.main()
