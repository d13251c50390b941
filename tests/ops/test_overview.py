"""The data of ``crocuskeelctl status``."""

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


class RestartedHostTest(unittest.TestCase):
    """A host that has restarted says for whom it waits."""

    def test_a_host_that_has_not_recovered_names_the_missing(self):
        me = states.Identity("d", "h1", "a", "r", "127.0.0.1", 1, 2, 1)
        daemon = factory.new_daemon(me)
        reducer.reduce(daemon, events.Started(), 0.0)
        update = messages.MemberUpdate("h2", 1, "alive", "127.0.0.1", 1, 2)
        reducer.reduce(daemon, events.Received(
            "h2", 1, messages.Probe(1, (update,))), 0.1)
        own = overview.brief(daemon, 0.2).own
        self.assertFalse(own.recovered)
        self.assertEqual(("h2",), own.waits_for)


class StatusTest(unittest.TestCase):
    """The counts of hosts, cells and engines are consistent."""

    def test_engine_counts_match_cell_counts(self):
        """Engines showed 0 running while their cell had running requests.

        The engine rows looked up the engine's name in a count that is
        keyed by fingerprint, so it was always 0.
        """
        me = states.Identity("d", "h1", "a", "r", "127.0.0.1", 1, 2, 1)
        daemon = factory.new_daemon(
            me, tree=conf_tree.from_document(DOCUMENT, 1))
        servers = tuple(messages.Backend(f"e{n}", "llm", "http://x")
                        for n in range(2))
        enqueues = [messages.Enqueue(f"h2.1.{n}", 1, "llm/0", "llm", "chat",
                                     "ws", 2, fingerprint=f"f{n}")
                    for n in range(3)]
        received = [events.Started(), events.HostListSeen(1, (), servers)]
        received += [events.Received("h2", 1, each) for each in enqueues]
        for event in received:
            reducer.reduce(daemon, event, 100.0)
        status = overview.status(daemon, (), 101.0)
        by_tier = sum(tier.running for cell in status.cells
                      for tier in cell.tiers)
        self.assertEqual(3, by_tier)
        self.assertEqual(3, sum(e.in_flight for e in status.engines))

    def test_drained_host_is_reported_as_left(self):
        """A drained host must be reported as left, not as dead.

        A stopped host stops responding like a crashed one; only its
        earlier announcement that it is leaving tells them apart.
        """
        me = states.Identity("d", "h1", "a", "r", "127.0.0.1", 1, 2, 1)
        daemon = factory.new_daemon(me)
        reducer.reduce(daemon, events.Started(), 0.0)
        for at, host, statuses in (
                (1.0, "h2", ("alive", "leaving")), (1.0, "h3", ("alive",))):
            for status in (*statuses, "suspect", "dead"):
                update = messages.MemberUpdate(
                    host, 1, status, "127.0.0.2", 1, 2, "a", "r")
                at += 60.0
                reducer.reduce(daemon, events.Received(
                    "h4", 1, messages.Probe(1, (update,)), 0, ""), at)
        found = {each.host: each.status
                 for each in overview.status(daemon, (), 300.0).hosts}
        self.assertEqual(("left", "dead"), (found["h2"], found["h3"]))
