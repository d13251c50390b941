"""Guards against refusals of requests that a server is running."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from tests.entry import support


class HedgedRefusalsTest(unittest.TestCase):
    """A request that is to be sent to a second server as well."""

    def test_a_request_in_progress_is_not_shed_as_its_hedge_finds_no_room(
            self):
        # The second server was full, and the caller was told that its
        # request had not run while the first one was running it.
        driver = support.Driver(
            support.route("safe", split=(("engines", 1),)),
            servers=[support.server(name, "engines") for name in "ab"])
        driver.arrive(path="/safe/1", prompt=support.prompt())
        sid = driver.host.pending[1].attempts[0].sid
        for name, state in driver.host.servers.items():
            if name != sid:
                state.own_attempts = {(9, n): 0 for n in range(64)}
        while driver.now < support.NOW + 1.0:
            out = driver.feed(events.TimerFired(1),
                              driver.timers[1] - driver.now)
            self.assertEqual([], support.effects_of(out, effects.Answer))
        out = driver.feed(events.ResponseReceived(1, 0, 200, None, True))
        self.assertEqual(1, len(support.effects_of(
            out, effects.ForwardResponse)))


if __name__ == "__main__":
    unittest.main()
