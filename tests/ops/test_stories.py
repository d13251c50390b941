"""The story of a request, told from the events of several hosts."""

import pathlib
import re
import unittest

from crocuskeel.ops import sentences
from crocuskeel.ops import stories
from crocuskeel import timeline

CORE = pathlib.Path(__file__).parents[2] / "crocuskeel" / "core"
RID = "h1.1.7"
_BASE = {"class": "ramp", "tier": 1, "workspace": "north",
         "cell": "llm/0", "generation": 4}


def _events(rows):
    return tuple(
        timeline.Event(ms / 1000, timeline.Stamp(ms, 0), host, 1, 9, kind,
                       rid, "", tuple(fields.items()))
        for ms, host, kind, rid, fields in rows)


def _door(ms, kind, attempt, engine="", waited_s=0.0, **extra):
    fields = {**_BASE, "engine": engine, "attempt": attempt,
              "waited_s": waited_s, **extra}
    return ms, "h1", kind, RID, fields


def _granted(ms, attempt, engine, reason):
    return ms, "h2", "granted", RID, {
        "cell": "llm/0", "attempt": attempt, "engine": engine,
        "reason": reason, "waited_s": 0.0}


RETRIED = (
    _door(0, "arrived", 1),
    _door(1, "enqueued", 1, dispatcher="h2"),
    _granted(500, 1, "e1", "tier"),
    _door(501, "granted", 1, "e1", 0.5),
    _door(502, "opened", 1, "e1", 0.5),
    (600, "h2", "backed_off", "", {"engine": "e1", "span_s": 1.0}),
    (610, "h2", "backed_off", "", {"engine": "e5", "span_s": 1.0}),
    _door(700, "closed", 1, "e1", 0.7, end="broken", tokens=0),
    _door(701, "retried", 1, "", 0.7, avoid="e1"),
    _door(702, "enqueued", 2, "", 0.7, dispatcher="h2"),
    (800, "h1", "settings_adopted", "", {"to": 10, "batch": "b"}),
    _granted(1000, 2, "e3", "floor"),
    _door(1001, "granted", 2, "e3", 1.0),
    _door(1002, "opened", 2, "e3", 1.0),
    _door(1300, "closed", 2, "e3", 1.3, end="done", tokens=40),
    _door(1301, "answered", 2, "", 1.3, reason="", outcome="ran"),
    (2000, "h2", "restored", "", {"engine": "e1"}),
    (1302, "h1", "arrived", "h1.1.8", {}),
)


class StoryTest(unittest.TestCase):
    """Why it waited, was refused or retried, and where it ran."""

    def test_a_retried_request(self):
        """A caller got its answer late and asks why.

        Its first engine broke the connection, the second one answered;
        the door was on one host, the dispatcher on another.
        """
        story = stories.explain(_events(RETRIED), RID)
        self.assertEqual(
            ("ran", "", 4, "ramp", 0.8),
            (story.outcome, story.reason, story.generation,
             story.class_name, story.waited_s))
        self.assertEqual(
            [(1, "e1", "tier", 0.5, "broken"), (2, "e3", "floor", 0.3,
                                                "done")],
            [(each.number, each.engine, each.rule, each.waited_s,
              each.end) for each in story.attempts])
        context = [step.kind for step in story.steps if step.context]
        self.assertEqual(["backed_off", "settings_adopted"], context)
        words = "\n".join(step.text for step in story.steps)
        self.assertIn("to be tried again, avoiding e1", words)
        self.assertIn("attempt 1 on e1 ended: broken", words)
        self.assertIn("e3 for attempt 2, for its class's floor", words)

    def test_a_wait_that_ends_in_a_refusal_counts(self):
        """A caller waited 3 s and was then refused, with no grant."""
        story = stories.explain(_events((
            _door(0, "enqueued", 1, dispatcher="h2"),
            _door(3000, "refused", 1, "", 3.0, reason="deadline"),
            _door(3001, "answered", 1, "", 3.0, reason="deadline",
                  outcome="not_run"))), RID)
        self.assertEqual(3.0, story.waited_s)

    def test_how_requests_end(self):
        arrived = _door(0, "arrived", 1)
        shed = (5, "h2", "shed", RID, {
            "cell": "llm/0", "reason": "overload", "waited_s": 0.1})
        refused = _door(6, "refused", 1, reason="overload")
        answered = _door(7, "answered", 1, reason="overload",
                         outcome="not_run")
        lost = _door(7, "answered", 1, reason="backend_lost",
                     outcome="unknown")
        plain = (3, "h1", "refused", RID, {
            "reason": "unknown_class", "class": "x"})
        replayed = (3, "h1", "answered", RID, {"held": "h1.1.1"})
        rows = (
            ([arrived], "open", ""),
            ([arrived, shed, refused, answered], "not_run", "overload"),
            ([arrived, lost], "unknown", "backend_lost"),
            ([plain], "not_run", "unknown_class"),
            ([replayed], "ran", ""),
        )
        for events, outcome, reason in rows:
            with self.subTest(outcome=outcome, reason=reason):
                story = stories.explain(_events(events), RID)
                self.assertEqual((outcome, reason),
                                 (story.outcome, story.reason))
                self.assertEqual(bool(reason), bool(story.hint))

    def test_an_unknown_request(self):
        self.assertIsNone(stories.explain(_events(RETRIED), "h1.1.9"))

    def test_every_kind_that_the_core_records_has_its_words(self):
        """A new kind of event would be shown as raw fields only."""
        call = re.compile(
            r'(?:Record|record|record_order)\(\s*(?:\w+,\s*)?'
            r'"([a-z_]*[a-z])"')
        kinds = {kind for path in CORE.rglob("*.py")
                 for kind in call.findall(path.read_text())}
        self.assertGreater(len(kinds), 20)
        self.assertEqual(set(), kinds - set(sentences.SENTENCES))
