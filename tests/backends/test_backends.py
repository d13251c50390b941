"""A backend server that is leaving receives no new work."""

import random
import types
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from crocuskeel.core import backends
from crocuskeel.core.backends import grouping
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import state as core_state

ME = core_state.Identity("d", "h0", "a", "r", "127.0.0.1", 1, 2, 1)


def _daemon():
    return types.SimpleNamespace(
        identity=ME, rng=random.Random(1), follower=follower.new_state(),
        membership=membership.new_state(ME), backends=backends.new_state())


def _backend(name, leaving=False):
    return messages.Backend(name, "guide", "http://x", leaving=leaving)


def _list(at, *servers):
    return events.HostListSeen(at, (), servers)


def _news(at, *leaving, servers=()):
    message = messages.HostListNews(at, leaving, servers)
    return events.Received("h1", 1, message)


class LeavingTest(unittest.TestCase):
    """Rows: a description, whether e1 gets new work, and the events."""

    ROWS = (
        ("the list shows it as leaving", False,
         (_list(1, _backend("e1")), _list(2, _backend("e1", True)))),
        ("only a peer reports it; the host list is unavailable", False,
         (_list(1, _backend("e1")), _news(2, "e1"),
          events.HostListFailed())),
        ("a lagging replica of the list contradicts it", False,
         (_list(2, _backend("e1", True)), _list(1, _backend("e1")))),
        ("another replica at the same position contradicts it", False,
         (_list(2, _backend("e1", True)), _list(2, _backend("e1")))),
        ("a peer reports leaving late, after the server returned", True,
         (_list(2, _backend("e1", True)), _list(3, _backend("e1")),
          _news(2, "e1"))),
        ("a later list shows it as live again", True,
         (_list(2, _backend("e1", True)), _list(3, _backend("e1")))),
        ("it was removed from the list", False,
         (_list(1, _backend("e1")), _list(2))),
        ("the list is unavailable after it was read", True,
         (_list(1, _backend("e1")), events.HostListFailed())),
    )

    def test_rows(self):
        """A leaving server gets no new work, whatever the source.

        A request sent to a leaving server would be cut off. The list may
        be delayed, unavailable or contradictory; positions order its
        versions.
        """
        for description, is_usable, received in self.ROWS:
            daemon = _daemon()
            for event in received:
                backends.handle(daemon, event, 0.0)
            with self.subTest(description):
                self.assertEqual(is_usable, backends.is_usable(daemon, "e1"))

    def test_leaving_is_broadcast_once(self):
        daemon = _daemon()
        out = []
        for at in (1, 2):
            out += backends.handle(
                daemon, _list(at, _backend("e1", True)), 0.0)
        broadcasts = [e for e in out if type(e) is effects.Broadcast]
        self.assertEqual([messages.HostListNews(1, ("e1",))],
                         [e.message for e in broadcasts])

    def test_a_host_started_in_an_outage_uses_a_peers_list(self):
        """A host that starts in a host list outage uses a peer's list.

        Without a list it would refuse every request for lack of backend
        servers until the outage ends.
        """
        daemon = _daemon()
        server = _backend("e1")
        backends.handle(daemon, _news(4, servers=(server,)), 0.0)
        self.assertTrue(backends.is_usable(daemon, "e1"))
        out = backends.handle(daemon, events.Received(
            "h2", 1, messages.HostListAsk(-1)), 0.0)
        self.assertEqual(
            [effects.Send("h2", messages.HostListNews(4, (), (server,)))],
            out)


class CellsTest(unittest.TestCase):
    """Cells are bounded in size and the same on all hosts."""

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.integers(1, 120), st.integers(1, 32))
    def test_bounds(self, count, size):
        servers = tuple(_backend(f"e{n}") for n in range(count))
        built = grouping.build({"guide": servers}, size)
        self.assertEqual(
            sorted(b.name for b in servers),
            sorted(name for group in built.values() for name in group))
        self.assertLessEqual(max(map(len, built.values())), size)
        again = grouping.build({"guide": servers[::-1]}, size)
        self.assertEqual(built, again)

    def test_one_more_server_moves_few_others(self):
        servers = tuple(_backend(f"e{n}") for n in range(300))
        before = grouping.build({"guide": servers[:-1]}, 32)
        after = grouping.build({"guide": servers}, 32)
        moved = sum(name not in after[cell]
                    for cell, group in before.items() for name in group)
        self.assertLess(moved, 30)
