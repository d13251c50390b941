"""How our programs start; each in an interpreter of its own."""

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
    """What holds before the reactor runs."""

    def test_the_reactors_loop_is_the_current_one(self):
        """No daemon starts: "could not start", exit code 1.

        grpclib's server is made before the reactor runs and takes the
        current event loop. The reactor's own loop was not set as it.
        """
        done = subprocess.run(
            [sys.executable, "-W", "error", "-c", PROBE],
            capture_output=True, text=True, timeout=60)
        self.assertEqual((0, ""), (done.returncode, done.stderr))
