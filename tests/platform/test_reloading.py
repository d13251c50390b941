"""Reloading of a settings file that changes."""

import types
import unittest

from crocuskeel.core.entry import events
from crocuskeel.platform import boot as boot_settings
from crocuskeel.platform import reloading
from tests import odd_forms
from tests.platform import test_boot
from twisted.internet import task


class _Gateway:
    duty_executor = None

    def __init__(self):
        self.memory = types.SimpleNamespace(limit=0)
        self.lines = []
        self.events = []

    def feed(self, event):
        self.events.append(event)

    def log(self, event, fields):
        self.lines.append((event, fields))


class _Store:
    address = None


class ReloadTest(unittest.TestCase):
    """With a signal and without one."""

    def setUp(self):
        self.text = test_boot.VALID
        self.clock = task.Clock()
        self.gateway = _Gateway()
        self.store = _Store()
        self.reloader = reloading.Reloader(
            self.clock, self._read,
            boot_settings.parse_boot_settings(self.text), self.gateway,
            self.store)
        self.reloader.start()

    def _read(self):
        if self.text is None:
            raise FileNotFoundError("no such file")
        return self.text

    def _change(self, old, new):
        self.text = test_boot.VALID.replace(old, new)

    def test_memory_limit_is_applied(self):
        self.text += "\nLimits.MemoryMb=200\n"
        self.reloader.reload()
        self.assertEqual(200 << 20, self.gateway.memory.limit)

    def test_file_that_is_no_text_changes_nothing(self):
        self.reloader.read = lambda: b"\xff".decode()
        self.reloader.reload()
        self.assertEqual("reload_refused", self.gateway.lines[0][0])
        self.assertEqual([], self.gateway.events)

    def test_file_with_an_odd_port_changes_nothing(self):
        for port in odd_forms.PORTS:
            self.gateway.lines.clear()
            self._change("10.200.1.7:8223", f"10.200.1.7:{port}")
            self.reloader.reload()
            self.assertEqual("reload_refused", self.gateway.lines[0][0])
            self.assertEqual([], self.gateway.events)

    def test_limits_and_store_address_are_applied(self):
        self._change("BudgetSlack=52", "BudgetSlack=7")
        self.text = self.text.replace("10.200.1.7:8223", "10.9.9.9:1")
        self.reloader.reload()
        (seen,) = self.gateway.events
        self.assertIsInstance(seen, events.SettingsRead)
        self.assertEqual(7.0, seen.settings.repeat_slack)
        self.assertEqual(("10.9.9.9", 1), self.store.address)
        self.assertEqual([("reload", {
            "changed": ["store", "settings"], "at_next_start": []})],
            self.gateway.lines)

    def test_change_without_a_signal_is_detected(self):
        self._change("BudgetSlack=52", "BudgetSlack=7")
        self.clock.advance(reloading.POLL_INTERVAL_S)
        self.assertEqual(1, len(self.gateway.events))
        self.clock.advance(reloading.POLL_INTERVAL_S)
        self.assertEqual(1, len(self.gateway.lines))

    def test_addresses_change_at_the_next_start(self):
        self._change("Listen.Front=10.1.0.40:8227",
                     "Listen.Front=10.1.0.40:9999")
        self.reloader.reload()
        self.assertEqual(["front"],
                         self.gateway.lines[0][1]["at_next_start"])

    def test_invalid_file_is_ignored_and_logged_once(self):
        # An operator's tool may have written only half of the file. The active
        # settings stay until the complete file is there.
        self.text = "Node=front-a-1"
        self.reloader.reload()
        self.clock.pump([reloading.POLL_INTERVAL_S] * 3)
        ((event, fields),) = self.gateway.lines
        self.assertEqual("reload_refused", event)
        self.assertTrue(any("Zone" in fault for fault in fields["faults"]))
        self.text = None
        self.reloader.reload()
        self.assertEqual(["reload_refused"] * 2,
                         [event for event, _ in self.gateway.lines])
        self.assertEqual([], self.gateway.events)
        self._change("BudgetSlack=52", "BudgetSlack=7")
        self.clock.advance(reloading.POLL_INTERVAL_S)
        self.assertEqual(1, len(self.gateway.events))
