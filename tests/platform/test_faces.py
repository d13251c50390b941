"""What a host answers to others that ask for what it knows."""

import json
import unittest
import zlib

from crocuskeel.platform import faces


class _Follower:
    """Says what a test lays ready, and counts how often it is asked."""

    def __init__(self):
        self.asked = 0
        self.lapsing = ()
        self.revision = 7

    def state(self):
        return self.revision, self.lapsing

    def snapshot(self, config_revision, servers_revision):
        self.asked += 1
        return {"config": None, "servers": [], "revision": self.revision,
                "lapsing": self.lapsing}


class SnapshotsTest(unittest.TestCase):
    """The list is written once for all that ask alike."""

    def setUp(self):
        self.follower = _Follower()
        self.kept = faces._Snapshots(self.follower)

    def _ask(self, *revisions):
        status, body = self.kept.answer(*revisions)
        self.assertEqual(200, status)
        return json.loads(zlib.decompress(body))

    def test_hosts_that_start_together_get_one_text(self):
        # All hosts were killed at once. 300 ask the few that have the list
        # of 3,000 servers; each answer was written anew, came too late,
        # and was asked for again.
        for _ in range(100):
            self._ask(0, 0)
        self.assertEqual(1, self.follower.asked)

    def test_what_changes_is_told(self):
        self._ask(0, 0)
        self.follower.revision = 8
        self.assertEqual(8, self._ask(0, 0)["revision"])
        self._ask(0, 7)
        self.assertEqual(3, self.follower.asked)

    def test_what_lapses_is_worked_out_each_time(self):
        # For how long such a server is kept shrinks with each moment: told
        # too long, it would get requests after it left.
        self.follower.lapsing = (("s1", 1.2),)
        for _ in range(2):
            self._ask(0, 0)
        self.assertEqual(2, self.follower.asked)

    def test_answers_that_are_kept_stay_few(self):
        for revision in range(100):
            self._ask(0, revision)
        self.assertLessEqual(len(self.kept.bodies), faces.KEPT_MOST)

    def test_a_host_that_knows_nothing_says_so(self):
        self.follower.snapshot = lambda *asked: None
        self.assertEqual((503, b""), self.kept.answer(0, 0))


if __name__ == "__main__":
    unittest.main()
