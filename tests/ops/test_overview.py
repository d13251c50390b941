"""What an operator reads in ``crocuskeelctl status``."""

import unittest

from crocuskeel.conf import tree as conf_tree
from crocuskeel.core import events
from crocuskeel.core import factory
from crocuskeel.core import messages
from crocuskeel.core import reducer
from crocuskeel.core import state as states
from crocuskeel.ops import overview

DOCUMENT = {
    "deployment": {"name": "d", "failure_domains": ["a"]},
    "services": {"llm": {"kind": "engine", "models": ["m"]}},
    "classes": {"chat": {"service": "llm", "tier": 2}},
    "workspaces": {"ws": {}},
}


class StatusTest(unittest.TestCase):
    """The tables agree with each other."""

    def test_engines_show_what_runs_on_them(self):
        """An operator looks for the busy engine and all show 0 running.

        The cell's row says that requests run; the engines' rows read a
        count by fingerprint under the engine's name, which is 0.
        """
        me = states.Identity("d", "h1", "a", "r", "127.0.0.1", 1, 2, 1)
        daemon = factory.new_daemon(
            me, tree=conf_tree.from_document(DOCUMENT, 1))
        servers = tuple(messages.Backend(f"e{n}", "llm", "http://x")
                        for n in range(2))
        ask = [messages.Enqueue(f"h2.1.{n}", 1, "llm/0", "llm", "chat",
                                "ws", 2, fingerprint=f"f{n}")
               for n in range(3)]
        heard = [events.Started(), events.HostListSeen(1, (), servers)]
        heard += [events.Received("h2", 1, each) for each in ask]
        for event in heard:
            reducer.reduce(daemon, event, 100.0)
        status = overview.status(daemon, (), 101.0)
        by_tier = sum(tier.running for cell in status.cells
                      for tier in cell.tiers)
        self.assertEqual(3, by_tier)
        self.assertEqual(3, sum(e.in_flight for e in status.engines))

    def test_a_host_that_was_stopped_as_planned_has_left(self):
        """An operator drains a host and then reads that it is dead.

        After a planned stop the host is silent, as after a crash; only
        that it had said it leaves tells them apart.
        """
        me = states.Identity("d", "h1", "a", "r", "127.0.0.1", 1, 2, 1)
        daemon = factory.new_daemon(me)
        reducer.reduce(daemon, events.Started(), 0.0)
        for at, host, states_of in (
                (1.0, "h2", ("alive", "leaving")), (1.0, "h3", ("alive",))):
            for status in (*states_of, "suspect", "dead"):
                update = messages.MemberUpdate(
                    host, 1, status, "127.0.0.2", 1, 2, "a", "r")
                at += 60.0
                reducer.reduce(daemon, events.Received(
                    "h4", 1, messages.Probe(1, (update,)), 0, ""), at)
        found = {each.host: each.status
                 for each in overview.status(daemon, (), 300.0).hosts}
        self.assertEqual(("left", "dead"), (found["h2"], found["h3"]))
