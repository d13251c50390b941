"""Tests of program startup, each in a separate interpreter."""

import subprocess
import sys
import unittest

PROBE = """
import asyncio
from crocuskeel.programs import reactors
reactor, loop = reactors.install()
assert asyncio.get_event_loop() is loop, "another loop"
assert reactor.seconds == loop.time, "not monotonic"
"""


class ReactorTest(unittest.TestCase):
    """The state of the event loop before the reactor runs."""

    def test_reactor_loop_is_the_current_loop(self):
        """No daemon starts: "could not start", exit code 1.

        grpclib's server is created before the reactor runs and uses the
        current event loop, which was not set to the reactor's own loop.
        """
        done = subprocess.run(
            [sys.executable, "-W", "error", "-c", PROBE],
            capture_output=True, text=True, timeout=60)
        self.assertEqual((0, ""), (done.returncode, done.stderr))
