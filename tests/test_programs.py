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

SIGNAL_PROBE = """
import signal
import sys
from crocuskeel.programs import entry
loaded = [name for name in sys.modules
          if name.startswith(("twisted", "crocuskeel.core"))]
assert not loaded, loaded
handlers = []
def read_file(path, read):
    handlers.append(signal.getsignal(signal.SIGHUP))
entry._read_file = read_file
entry.main(["--settings", "missing"])
assert handlers[0] == signal.SIG_IGN, handlers
"""


class SignalTest(unittest.TestCase):
    """Signals to a process that is starting."""

    def test_sighup_at_a_start_does_not_end_the_process(self):
        # Its default is to end a process, and the handler came 0.7 s later.
        done = subprocess.run(
            [sys.executable, "-c", SIGNAL_PROBE],
            capture_output=True, text=True, timeout=60)
        self.assertEqual((0, ""), (done.returncode, done.stderr))


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
