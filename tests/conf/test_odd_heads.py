"""Odd heads of the settings, as another writer may leave them."""

import types
import unittest
from unittest import mock

from crocuskeel import conf
from crocuskeel.conf import storage
from crocuskeel.control import platform_calls as control_calls
from crocuskeel.core.control import effects as control_effects
from crocuskeel.core.control import events as control_events
from crocuskeel import objectapi
from tests import odd_forms
from twisted.internet import defer


class SettingsTest(unittest.TestCase):
    """Guards against a head that no host can ever follow."""

    HEAD = {"generation": 3, "batch_id": "b", "index": "d",
            "recent": [[3, "b", "e"]]}

    def test_odd_heads_are_corrupt(self):
        for form in odd_forms.FORMS:
            for text in odd_forms.replaced(self.HEAD, form):
                with self.subTest(text[:150]):
                    self._check(text.encode())

    def _check(self, data):
        try:
            head = storage.decode_head(data)
        except conf.PartCorrupt:
            return
        self.assertIs(int, type(head.generation))
        self.assertTrue(0 <= head.generation < 2 ** 63)
        for row in head.recent_batches:
            self.assertIs(int, type(row.generation))
            (row.batch_id + row.delta_digest + head.index_digest).encode()

    def test_odd_settings_in_control(self):
        for text in odd_forms.OBJECTS[:20]:
            platform = mock.Mock()
            platform.get.return_value = defer.succeed(
                objectapi.Found(7, text.encode()))
            done = defer.Deferred.fromCoroutine(control_calls.check_settings(
                types.SimpleNamespace(platform=platform),
                control_effects.CheckSettings(0)))
            found = []
            done.addBoth(found.append)
            self.assertEqual([control_events.SettingsChecked(False)], found)


if __name__ == "__main__":
    unittest.main()
