"""The log of changes of the list of servers."""

import random
import unittest

from crocuskeel.core.entry import changelog
from crocuskeel.core import revisions


def _apply(known, current, changes):
    """Return a list of servers with changes applied."""
    after = {sid: entry for sid, entry in known.items()
             if sid not in changes.removed}
    after.update((sid, current[sid]) for sid in changes.changed)
    return after


class ChangelogTest(unittest.TestCase):
    """Changes lead from any logged revision to the newest one."""

    def setUp(self):
        self.rng = random.Random(3)
        self.log = changelog.ChangeLog()
        self.current = {}
        # The list at each revision.
        self.lists = {}

    def _begin(self, servers, revision):
        self.current = {f"s{number}": 0 for number in range(servers)}
        changelog.record_full_list(self.log, {}, self.current, revision)
        self.lists[revision] = dict(self.current)

    def _change(self, revision):
        """Add, change and remove some servers."""
        former = dict(self.current)
        for _ in range(self.rng.randrange(1, 4)):
            self.current[f"s{self.rng.randrange(60)}"] = revision
        removed = [sid for sid in self.current if self.rng.random() < 0.04]
        for sid in removed:
            del self.current[sid]
        self.lists[revision] = dict(self.current)
        return former

    def test_any_host_that_is_behind_gets_the_same_list(self):
        # A host that missed the removal of a server would send requests
        # there for ever: only changes are sent, so nothing corrects it.
        self._begin(30, 10)
        for revision in range(11, 300):
            former = self._change(revision)
            if self.rng.random() < 0.1:
                # Changes are unavailable: the full list is read again.
                changelog.record_full_list(
                    self.log, former, self.current, revision)
            else:
                changelog.record_changes(
                    self.log,
                    [sid for sid in self.current
                     if self.current[sid] == revision],
                    [sid for sid in former if sid not in self.current],
                    revision)
            since = self.rng.randrange(10, revision + 1)
            changes = changelog.changes_since(self.log, since)
            self.assertEqual(self.current, _apply(
                self.lists[since], self.current, changes))

    def test_no_changes_are_known_for_a_revision_before_the_log(self):
        self.assertIsNone(changelog.changes_since(self.log, 0))
        self._begin(3, 10)
        self.assertIsNone(changelog.changes_since(self.log, 9))
        self.assertEqual(((), ()), (
            changelog.changes_since(self.log, 10).changed,
            changelog.changes_since(self.log, 10).removed))

    def test_a_host_that_read_more_before_a_restore_gets_the_full_list(self):
        # Guards against a server that only that host had seen: no change
        # of the restored list names it.
        self._begin(3, 10)
        changelog.record_changes(self.log, ("s1",), (), 12)
        restored = revisions.combine(1, 11)
        changelog.record_full_list(
            self.log, self.current, {**self.current, "s2": 11}, restored)
        self.assertIsNone(changelog.changes_since(self.log, 13))
        self.assertEqual(("s2",), changelog.changes_since(
            self.log, 12).changed)
        self.assertEqual((), changelog.changes_since(
            self.log, restored).changed)
        again = revisions.combine(2, 11)
        changelog.record_full_list(
            self.log, self.current, self.current, again)
        self.assertIsNone(changelog.changes_since(self.log, 12))

    def test_the_number_of_removed_servers_is_bounded(self):
        # Each start of a server may have a new id: over months a host would
        # accumulate all ids that ever existed.
        self._begin(1, 10)
        for revision in range(11, 11 + 2 * changelog.MAX_REMOVED):
            changelog.record_changes(self.log, (), (f"old{revision}",),
                                     revision)
        self.assertLessEqual(len(self.log.removed), changelog.MAX_REMOVED)
        self.assertLessEqual(len(self.log.changes), changelog.MAX_REMOVED)
        self.assertIsNone(changelog.changes_since(self.log, 10))
        self.assertEqual(1, len(changelog.changes_since(
            self.log, revision - 1).removed))
