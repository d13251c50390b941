"""Causal order of events of processes whose clocks differ."""

import json
import re
import unittest

import hypothesis
from hypothesis import strategies as st

from crocuskeel import timeline

HOSTS = ("a", "b", "c")
_steps = st.lists(st.tuples(
    st.integers(0, 2), st.integers(0, 2), st.integers(0, 40)), max_size=60)
_skews = st.tuples(*[st.integers(-5000, 5000)] * 3)


def _event(host, stamp, kind="k", rid="", **fields):
    return timeline.Event(
        stamp[0] / 1000, timeline.Stamp(*stamp), host, 1, 7, kind, rid, "",
        tuple(fields.items()))


class _Simulation:
    """Simulated hosts with skewed clocks that exchange messages."""

    def __init__(self, skews):
        self.skews = dict(zip(HOSTS, skews))
        self.clocks = {host: timeline.new_clock() for host in HOSTS}
        self.now = 1_000_000
        self.events = []
        self.causes = []

    def message(self, sender, receiver, after_ms):
        """Send and receive a message; record the causal pairs of events."""
        self.now += after_ms
        sent = self.clocks[sender].tick(self.now + self.skews[sender])
        self._add(sender, sent)
        received = self.clocks[receiver].merge(
            sent, self.now + self.skews[receiver])
        self._add(receiver, received)
        self.causes.append(self.events[-2:])

    def _add(self, host, stamp):
        earlier = [each for each in self.events if each.host == host]
        self.events.append(_event(host, stamp))
        self.causes += [[each, self.events[-1]] for each in earlier[-1:]]


class ClockTest(unittest.TestCase):
    """The hybrid clock orders a cause before its effect."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(_skews, _steps, st.randoms(use_true_random=False))
    def test_effects_are_ordered_after_their_causes(self, skews, steps, rng):
        """A grant must not be listed before the request that caused it.

        If the dispatcher's clock is seconds behind the clock of the host
        that received the request, sorting by the hosts' own clocks would
        put the effect before its cause.
        """
        simulation = _Simulation(skews)
        for sender, receiver, after_ms in steps:
            simulation.message(HOSTS[sender], HOSTS[receiver], after_ms)
        shuffled = list(simulation.events)
        rng.shuffle(shuffled)
        order = list(timeline.merge(tuple(shuffled)))
        self.assertEqual(len(simulation.events), len(order))
        for cause, effect in simulation.causes:
            self.assertLess(order.index(cause), order.index(effect))


class MergeTest(unittest.TestCase):
    """Log files and ring buffers are merged into one timeline."""

    def test_invalid_lines_are_reported(self):
        """Invalid lines are reported by file and line; the rest is read.

        A killed daemon leaves an incomplete line, and a log shipper may
        interleave two.
        """
        first = _event("a", (10, 0), "arrived", "a.1.1")
        second = _event("b", (9, 3), "granted", "a.1.1")
        complete = timeline.to_line(first)
        lines = [complete, "", complete[:30], "[1]",
                 '{"ts": "x", "hlc": [1, 2]}',
                 complete.replace("[10,0]", "[10]")]
        log = {"ts": 0.011, "host": "a", "kind": "log", "level": "ERROR",
               "message": "unhandled failure"}
        found = timeline.join([
            timeline.parse_lines(lines, "a.log"),
            timeline.parse_lines([json.dumps(log)], "a2.log"),
            timeline.parse_ring(
                [timeline.to_dict(second), timeline.to_dict(first)], "b")])
        self.assertEqual(
            [("a.log", 3), ("a.log", 4), ("a.log", 5), ("a.log", 6)],
            [(invalid.source, invalid.line) for invalid in found.invalid])
        order = timeline.merge(found.events)
        self.assertEqual([second, first], list(order[:2]))
        self.assertEqual(["granted", "arrived", "log"],
                         [event.kind for event in order])
        self.assertIn("arrived", timeline.render_text(order))

    def test_selection_filters_events(self):
        found = tuple(
            _event(host, (1000 * at, 0), kind, f"{host}.1.{at}")
            for at, (host, kind) in enumerate(
                [("a", "claims_in_doubt"), ("b", "granted"),
                 ("a", "granted"), ("b", "claims_unreadable")]))
        rows = (
            ({}, [0, 1, 2, 3]),
            ({"hosts": ("a",)}, [0, 2]),
            ({"kinds": ("claims",)}, [0, 3]),
            ({"requests": ("b.1.1", "a.1.2")}, [1, 2]),
            ({"since": 1.0, "until": 2.0}, [1, 2]),
            ({"hosts": ("a",), "kinds": ("granted",)}, [2]),
            ({"batches": ("x",)}, []),
        )
        for parts, kept in rows:
            with self.subTest(parts):
                self.assertEqual(
                    [found[at] for at in kept],
                    list(timeline.select(
                        found, timeline.Selection(**parts))))


class PageTest(unittest.TestCase):
    """The HTML page is self-contained and runs no injected script."""

    def test_field_markup_is_escaped(self):
        """A class name sent by a caller may contain ``</script>``.

        Unescaped, it would end the data block, and the page would run the
        caller's script when an operator opens it.
        """
        markup = "</script><script>alert(1)</script>"
        page = timeline.render_page(
            (_event("a", (1, 0), rid="a.1.1", name=markup),))
        empty = timeline.render_page(())
        for tag in ("<script", "</script"):
            self.assertEqual(empty.count(tag), page.count(tag))
        data = re.search(r'application/json">(.*?)</script>', page)[1]
        self.assertEqual(markup, json.loads(data)["events"][0]["fields"]
                         ["name"])

    def test_page_loads_no_resources(self):
        page = timeline.render_page(())
        self.assertIn("default-src 'none'", page)
        self.assertEqual([], re.findall(
            r'(?:src|href)\s*=|url\(|@import', page))
