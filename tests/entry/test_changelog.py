"""The changes of the list of servers that a host tells another."""

import random
import unittest

from crocuskeel.core.entry import changelog


def _apply(known, current, changes):
    """Return a list of servers after changes of it."""
    after = {sid: entry for sid, entry in known.items()
             if sid not in changes.removed}
    after.update((sid, current[sid]) for sid in changes.changed)
    return after


class ChangelogTest(unittest.TestCase):
    """Changes lead from any revision to the newest, or none are told."""

    def setUp(self):
        self.rng = random.Random(3)
        self.log = changelog.Log()
        self.current = {}
        # The list at each revision.
        self.lists = {}

    def _begin(self, servers, revision):
        self.current = {f"s{number}": 0 for number in range(servers)}
        changelog.note_whole(self.log, {}, self.current, revision)
        self.lists[revision] = dict(self.current)

    def _change(self, revision):
        """Have some servers come, change and leave."""
        former = dict(self.current)
        for _ in range(self.rng.randrange(1, 4)):
            self.current[f"s{self.rng.randrange(60)}"] = revision
        gone = [sid for sid in self.current if self.rng.random() < 0.04]
        for sid in gone:
            del self.current[sid]
        self.lists[revision] = dict(self.current)
        return former

    def test_any_host_that_is_behind_comes_to_the_same_list(self):
        # A host that missed one server that left would send there for
        # good; the list is told in parts, so nothing mends it later.
        self._begin(30, 10)
        for revision in range(11, 300):
            former = self._change(revision)
            if self.rng.random() < 0.1:
                # The history is gone, the whole list is read anew.
                changelog.note_whole(
                    self.log, former, self.current, revision)
            else:
                changelog.note(
                    self.log,
                    [sid for sid in self.current
                     if self.current[sid] == revision],
                    [sid for sid in former if sid not in self.current],
                    revision)
            since = self.rng.randrange(10, revision + 1)
            changes = changelog.since(self.log, since)
            self.assertEqual(self.current, _apply(
                self.lists[since], self.current, changes))

    def test_one_that_is_too_far_behind_gets_no_changes(self):
        self.assertIsNone(changelog.since(self.log, 0))
        self._begin(3, 10)
        self.assertIsNone(changelog.since(self.log, 9))
        self.assertEqual(((), ()), (
            changelog.since(self.log, 10).changed,
            changelog.since(self.log, 10).removed))

    def test_servers_that_left_are_forgotten_some_time(self):
        # Each start of a server is a new id: over months a host would
        # keep all that ever were.
        self._begin(1, 10)
        for revision in range(11, 11 + 2 * changelog.GONE_MOST):
            changelog.note(self.log, (), (f"old{revision}",), revision)
        self.assertLessEqual(len(self.log.gone), changelog.GONE_MOST)
        self.assertLessEqual(len(self.log.changes), changelog.GONE_MOST)
        self.assertIsNone(changelog.since(self.log, 10))
        self.assertEqual(1, len(changelog.since(
            self.log, revision - 1).removed))
