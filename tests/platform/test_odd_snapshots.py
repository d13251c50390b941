"""Odd snapshots of other hosts."""

import json
import unittest
import zlib

from crocuskeel.core.entry import registry
from crocuskeel.core import revisions
from crocuskeel import decoding
from crocuskeel.platform import snapshots
from tests import odd_forms
from tests.platform import test_foreign_entries as foreign

SERVER = foreign._entry("i-1")
CONFIG = {"Meta": {"Name": "main", "Rev": 3}, "Spec": {"Version": 2}}
SNAPSHOT = {"config": CONFIG, "revision": 9, "era": 0,
            "servers": [SERVER], "lapsing": [["i-2", 0.5]]}
LATER = {**SNAPSHOT, "revision": 10, "config": None,
         "servers": [SERVER, foreign._entry("i-3")]}


class OddSnapshotTest(unittest.TestCase):
    """Guards against a snapshot after which a host follows no other."""

    def _apply(self, host, text):
        """Apply a snapshot as the fetch of it does; return whether it was."""
        try:
            host.watcher.apply_snapshot(snapshots.decode(
                zlib.compress(text.encode())))
        except decoding.DECODING_ERRORS:
            return False
        return True

    def test_next_snapshot_is_applied(self):
        for form in odd_forms.BRIEF:
            for text in odd_forms.replaced(SNAPSHOT, form):
                host = foreign._Host()
                self._apply(host, text)
                with self.subTest(text[:150]):
                    self.assertTrue(self._apply(host, json.dumps(LATER)))
                    if host.store.era == 0:
                        self.assertEqual({"i-1", "i-3"}, set(host.known()))

    def test_revision_with_bits_of_the_era(self):
        # No snapshot was newer than it: the host kept the servers of then.
        for revision in (revisions.combine(1, 0), 2 ** 63 - 1):
            host = foreign._Host()
            self.assertFalse(self._apply(host, json.dumps(
                {**SNAPSHOT, "revision": revision})))
            self.assertTrue(self._apply(host, json.dumps(LATER)))
            self.assertEqual({"i-1", "i-3"}, set(host.known()))

    def test_grace_periods_stay_in_range(self):
        for value in ("1e400", "NaN", "-1", "true", "9"):
            text = json.dumps(SNAPSHOT).replace("0.5", value)
            host = foreign._Host()
            self._apply(host, text)
            for left_s in host.host.lapsing.values():
                self.assertLessEqual(left_s - host.clock.seconds(),
                                     registry.GRACE_S)


if __name__ == "__main__":
    unittest.main()
