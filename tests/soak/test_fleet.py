"""The hosts of a soak run end with it."""

import subprocess
import types
import unittest

from tools.soak import fleet as fleets


class _Process:
    """A process that exits only after ``exits_after_s``, if it is killed."""

    def __init__(self, exits_after_s):
        self.exits_after_s = exits_after_s
        self.signals = []

    def poll(self):
        return None

    def send_signal(self, number):
        self.signals.append(number.name)

    def wait(self, timeout):
        if timeout < self.exits_after_s:
            raise subprocess.TimeoutExpired("host", timeout)


class FleetTest(unittest.TestCase):
    """How the processes are stopped."""

    def test_all_are_killed_although_one_does_not_exit_in_time(self):
        # The others stayed behind, and the next run found their addresses
        # in use.
        processes = {0: _Process(60.0), 1: _Process(0.0)}
        fleet = types.SimpleNamespace(processes=processes)
        fleet.signal = lambda *args: fleets.Fleet.signal(fleet, *args)
        with self.assertRaises(subprocess.TimeoutExpired):
            fleets.Fleet.stop(fleet)
        self.assertIn("SIGKILL", processes[1].signals)


if __name__ == "__main__":
    unittest.main()
