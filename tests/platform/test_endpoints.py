"""Snapshots that a host serves to other hosts."""

import json
import unittest
import zlib

from crocuskeel.platform import endpoints


class _StoreWatcher:
    """Returns a fixed state and counts the calls of ``snapshot``."""

    def __init__(self):
        self.calls = 0
        self.lapsing = ()
        self.revision = 7

    def state(self):
        return self.revision, self.lapsing

    def snapshot(self, config_revision, servers_revision):
        self.calls += 1
        return {"config": None, "servers": [], "revision": self.revision,
                "lapsing": self.lapsing}


class SnapshotCacheTest(unittest.TestCase):
    """Snapshots are serialized once for equal requests."""

    def setUp(self):
        self.watcher = _StoreWatcher()
        self.cache = endpoints._SnapshotCache(self.watcher)

    def _ask(self, *revisions):
        status, body = self.cache.answer(*revisions)
        self.assertEqual(200, status)
        return json.loads(zlib.decompress(body))

    def test_hosts_that_start_together_share_one_snapshot(self):
        # When all hosts restart, 300 request a snapshot from the few that have
        # the list of 3,000 servers. Serialized for each, the answers came
        # after the timeout and were requested again.
        for _ in range(100):
            self._ask(0, 0)
        self.assertEqual(1, self.watcher.calls)

    def test_snapshot_is_rebuilt_after_a_change(self):
        self._ask(0, 0)
        self.watcher.revision = 8
        self.assertEqual(8, self._ask(0, 0)["revision"])
        self._ask(0, 7)
        self.assertEqual(3, self.watcher.calls)

    def test_expiring_servers_are_computed_per_request(self):
        # The remaining time of an expiring server shrinks: with a stale value
        # it would get requests after it left.
        self.watcher.lapsing = (("s1", 1.2),)
        for _ in range(2):
            self._ask(0, 0)
        self.assertEqual(2, self.watcher.calls)

    def test_cache_size_is_limited(self):
        for revision in range(100):
            self._ask(0, revision)
        self.assertLessEqual(len(self.cache.bodies),
                             endpoints.MAX_CACHED_SNAPSHOTS)

    def test_host_without_configuration_answers_503(self):
        self.watcher.snapshot = lambda *revisions: None
        self.assertEqual((503, b""), self.cache.answer(0, 0))


if __name__ == "__main__":
    unittest.main()
