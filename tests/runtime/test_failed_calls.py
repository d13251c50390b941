"""Calls to the platform that fail with an error that nobody expects."""

import collections
import random
import types
import unittest
from unittest import mock

from crocuskeel.control import event_loop
from crocuskeel.core import control
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.runtime import platform_calls
from twisted.internet import defer
from twisted.internet import task


class CallersTest(unittest.TestCase):
    """Guards against a follower that waits for an answer forever."""

    def test_unexpected_error_is_a_failed_call(self):
        for effect, expected in (
                (effects.WantHostList(), events.HostListFailed()),
                (effects.StoreGet("op", "a"), events.StoreAnswered(
                    "op", events.StoreStatus.UNAVAILABLE))):
            fed = []
            platform = mock.Mock()
            platform.hosts.side_effect = lambda: defer.fail(OverflowError())
            platform.get.side_effect = lambda path: defer.fail(
                RecursionError())
            with mock.patch.object(platform_calls.loop, "feed",
                                   lambda ctx, event: fed.append(event)):
                platform_calls.handlers()[type(effect)](
                    types.SimpleNamespace(platform=platform), effect)
            self.assertEqual([expected], fed)

    def test_control_goes_on_after_an_unexpected_error(self):
        # It read neither hosts nor settings any more.
        state = control.new_state(control.Config("x"), random.Random(1), 0.0)
        clock = task.Clock()
        platform = mock.Mock()
        platform.get.side_effect = RecursionError
        platform.hosts.side_effect = OverflowError
        ctx = types.SimpleNamespace(
            state=state, now=clock.seconds, reactor=clock, stopped=False,
            platform=platform, event_queue=collections.deque(),
            handling_event=False)
        event_loop.start(ctx)
        clock.pump([0.5] * 200)
        self.assertGreater(platform.hosts.call_count, 2)
        self.assertFalse(state.settings_read_pending)


if __name__ == "__main__":
    unittest.main()
