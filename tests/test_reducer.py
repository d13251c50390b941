"""The reducer as a whole: what no component does alone."""

import unittest

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import exceptions
from crocuskeel.core import factory
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import reducer
from crocuskeel.core import state as states


def _daemon(incarnation=1):
    me = states.Identity("d", "h1", "a", "r", "127.0.0.1", 1, 2,
                         incarnation, (("h2", "127.0.0.2", 1),))
    daemon = factory.new_daemon(me)
    reducer.reduce(daemon, events.Started(), 0.0)
    return daemon


def _probe(sender, *updates, incarnation=1):
    return events.Received(
        sender, incarnation, messages.Probe(1, updates), 0, "127.0.0.2")


class ReducerTest(unittest.TestCase):
    """Routing, and rules over several components."""

    def test_a_message_to_oneself_is_reduced_at_once(self):
        daemon = _daemon()
        out = reducer.reduce(daemon, events.Received(
            "h1", 1, messages.HostListAsk(-2)), 1.0)
        self.assertEqual([], [e for e in out if type(e) is effects.Send
                              and e.host == "h1"])

    def test_an_event_without_a_route_is_an_error(self):
        with self.assertRaises(exceptions.UnknownEvent):
            reducer.reduce(_daemon(), object(), 1.0)

    def test_the_older_process_of_a_name_drains(self):
        """Two daemons run under one host's name.

        A replaced host was started again while its old process still
        ran. Grants and answers for one would reach the other; the
        older one must take no new work and let its own finish.
        """
        daemon = _daemon(incarnation=1)
        newer = messages.MemberUpdate(
            "h1", 2, "alive", "127.0.0.9", 1, 2, "a", "r")
        for at in (1.0, 2.0):
            out = reducer.reduce(daemon, _probe("h2", newer), at)
        self.assertTrue(daemon.membership.superseded)
        self.assertIsNotNone(daemon.frontend.drain_started_at)
        self.assertNotIn("h1", membership.live(daemon))
        self.assertIsInstance(out, list)

    def test_any_message_is_a_sign_of_life(self):
        """Datagrams to a host are lost while its streams work.

        It would be suspected and then declared dead although it serves
        its callers.
        """
        daemon = _daemon()
        known = messages.MemberUpdate(
            "h2", 1, "alive", "127.0.0.2", 1, 2, "a", "r")
        reducer.reduce(daemon, _probe("h2", known), 1.0)
        reducer.reduce(daemon, events.Received(
            "h2", 1, messages.Progressed("llm/0")), 9.0)
        self.assertEqual(9.0, daemon.membership.members["h2"].last_contact_at)
