"""The time line: one order over processes whose clocks differ."""

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


class _Run:
    """Hosts with skewed clocks that send each other messages."""

    def __init__(self, skews):
        self.skews = dict(zip(HOSTS, skews))
        self.clocks = {host: timeline.new_clock() for host in HOSTS}
        self.now = 1_000_000
        self.events = []
        self.causes = []

    def message(self, sender, receiver, after_ms):
        """Send and receive; note which event is the other's cause."""
        self.now += after_ms
        sent = self.clocks[sender].tick(self.now + self.skews[sender])
        self._add(sender, sent)
        got = self.clocks[receiver].merge(
            sent, self.now + self.skews[receiver])
        self._add(receiver, got)
        self.causes.append(self.events[-2:])

    def _add(self, host, stamp):
        earlier = [each for each in self.events if each.host == host]
        self.events.append(_event(host, stamp))
        self.causes += [[each, self.events[-1]] for each in earlier[-1:]]


class ClockTest(unittest.TestCase):
    """Cause comes before effect."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(_skews, _steps, st.randoms(use_true_random=False))
    def test_no_effect_stands_before_its_cause(self, skews, steps, rng):
        """An operator reads a grant above the request it answers.

        The dispatcher's clock is seconds behind the door's. Sorted by
        the hosts' own clocks the effect would come before its cause.
        """
        run = _Run(skews)
        for sender, receiver, after_ms in steps:
            run.message(HOSTS[sender], HOSTS[receiver], after_ms)
        shuffled = list(run.events)
        rng.shuffle(shuffled)
        order = list(timeline.merge(tuple(shuffled)))
        self.assertEqual(len(run.events), len(order))
        for cause, effect in run.causes:
            self.assertLess(order.index(cause), order.index(effect))


class MergeTest(unittest.TestCase):
    """Files and rings become one line of events."""

    def test_bad_lines_are_named_and_hide_nothing(self):
        """A killed daemon left half a line; a log shipper mixed two.

        The good events of both files must still be shown, and the bad
        lines be named by file and line.
        """
        first = _event("a", (10, 0), "arrived", "a.1.1")
        second = _event("b", (9, 3), "granted", "a.1.1")
        whole = timeline.to_line(first)
        lines = [whole, "", whole[:30], "[1]", '{"ts": "x", "hlc": [1, 2]}',
                 whole.replace("[10,0]", "[10]")]
        log = {"ts": 0.011, "host": "a", "kind": "log", "level": "ERROR",
               "message": "unhandled failure"}
        found = timeline.join([
            timeline.parse_lines(lines, "a.log"),
            timeline.parse_lines([json.dumps(log)], "a2.log"),
            timeline.parse_ring(
                [timeline.to_dict(second), timeline.to_dict(first)], "b")])
        self.assertEqual(
            [("a.log", 3), ("a.log", 4), ("a.log", 5), ("a.log", 6)],
            [(bad.source, bad.line) for bad in found.bad])
        order = timeline.merge(found.events)
        self.assertEqual([second, first], list(order[:2]))
        self.assertEqual(["granted", "arrived", "log"],
                         [event.kind for event in order])
        self.assertIn("arrived", timeline.draw_text(order))

    def test_selections(self):
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
    """The page needs nothing else and runs nothing foreign."""

    def test_a_field_cannot_leave_its_data(self):
        """A caller's class name holds markup that ends the data.

        Opened by an operator the page would run the caller's script.
        """
        evil = "</script><script>alert(1)</script>"
        page = timeline.draw_page(
            (_event("a", (1, 0), rid="a.1.1", name=evil),))
        empty = timeline.draw_page(())
        for tag in ("<script", "</script"):
            self.assertEqual(empty.count(tag), page.count(tag))
        data = re.search(r'application/json">(.*?)</script>', page)[1]
        self.assertEqual(evil, json.loads(data)["events"][0]["fields"]
                         ["name"])

    def test_the_page_loads_nothing(self):
        page = timeline.draw_page(())
        self.assertIn("default-src 'none'", page)
        self.assertEqual([], re.findall(
            r'(?:src|href)\s*=|url\(|@import', page))
