"""Deadlines of requests that wait for a dispatcher more than once."""

import unittest

from crocuskeel.core import effects
from crocuskeel.core import events
from tests.frontend import driver


class DeadlineTest(unittest.TestCase):
    """The host itself bounds each wait, whatever its dispatcher does."""

    def test_attempt_refused_after_the_deadline_ends_the_wait(self):
        # The deadline passed while an attempt was open, the server then
        # refused it, and the dispatcher was lost: nothing ended the wait.
        host = driver.Host()
        rid = host.arrive("bulk")
        host.grant(rid)
        host.advance(41.0)
        host.feed(events.PeerDown(host.owner(host.request(rid).cell)))
        host.closed(rid, "busy")
        host.advance(0.0)
        problem, = (each.problem for each in host.log
                    if type(each) is effects.Answer)
        self.assertEqual(("deadline", "not_run"),
                         (str(problem.reason), str(problem.outcome)))


if __name__ == "__main__":
    unittest.main()
