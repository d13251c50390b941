"""Explains a request from the events of several hosts."""

import pathlib
import re
import unittest

from crocuskeel.ops import descriptions
from crocuskeel.ops import explanations
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


def _entry_event(ms, kind, attempt, engine="", waited_s=0.0, **extra):
    fields = {**_BASE, "engine": engine, "attempt": attempt,
              "waited_s": waited_s, **extra}
    return ms, "h1", kind, RID, fields


def _granted(ms, attempt, engine, reason):
    return ms, "h2", "granted", RID, {
        "cell": "llm/0", "attempt": attempt, "engine": engine,
        "reason": reason, "waited_s": 0.0}


RETRIED = (
    _entry_event(0, "arrived", 1),
    _entry_event(1, "enqueued", 1, dispatcher="h2"),
    _granted(500, 1, "e1", "tier"),
    _entry_event(501, "granted", 1, "e1", 0.5),
    _entry_event(502, "opened", 1, "e1", 0.5),
    (600, "h2", "backed_off", "", {"engine": "e1", "span_s": 1.0}),
    (610, "h2", "backed_off", "", {"engine": "e5", "span_s": 1.0}),
    _entry_event(700, "closed", 1, "e1", 0.7, end="broken", tokens=0),
    _entry_event(701, "retried", 1, "", 0.7, avoid="e1"),
    _entry_event(702, "enqueued", 2, "", 0.7, dispatcher="h2"),
    (800, "h1", "settings_adopted", "", {"to": 10, "batch": "b"}),
    _granted(1000, 2, "e3", "floor"),
    _entry_event(1001, "granted", 2, "e3", 1.0),
    _entry_event(1002, "opened", 2, "e3", 1.0),
    _entry_event(1300, "closed", 2, "e3", 1.3, end="done", tokens=40),
    _entry_event(1301, "answered", 2, "", 1.3, reason="", outcome="ran"),
    (2000, "h2", "restored", "", {"engine": "e1"}),
    (1302, "h1", "arrived", "h1.1.8", {}),
)


class ExplainTest(unittest.TestCase):
    """Waits, refusals, retries and engines of a request."""

    def test_a_retried_request(self):
        """The first engine broke the connection, the second one responded.

        One host received the request, another one dispatched it, so the
        events of both are needed to explain the delay.
        """
        explanation = explanations.explain(_events(RETRIED), RID)
        self.assertEqual(
            ("ran", "", 4, "ramp", 0.8),
            (explanation.outcome, explanation.reason, explanation.generation,
             explanation.class_name, explanation.waited_s))
        self.assertEqual(
            [(1, "e1", "tier", 0.5, "broken"), (2, "e3", "floor", 0.3,
                                                "done")],
            [(each.number, each.engine, each.rule, each.waited_s,
              each.end) for each in explanation.attempts])
        context = [step.kind for step in explanation.steps if step.context]
        self.assertEqual(["backed_off", "settings_adopted"], context)
        text = "\n".join(step.text for step in explanation.steps)
        self.assertIn("will be retried, avoiding e1", text)
        self.assertIn("attempt 1 on e1 ended: broken", text)
        self.assertIn("e3 for attempt 2, for its class's floor", text)

    def test_wait_before_a_refusal_is_counted(self):
        """A request waited for 3 s and was then refused without a grant."""
        explanation = explanations.explain(_events((
            _entry_event(0, "enqueued", 1, dispatcher="h2"),
            _entry_event(3000, "refused", 1, "", 3.0, reason="deadline"),
            _entry_event(3001, "answered", 1, "", 3.0, reason="deadline",
                         outcome="not_run"))), RID)
        self.assertEqual(3.0, explanation.waited_s)

    def test_outcomes_and_reasons(self):
        arrived = _entry_event(0, "arrived", 1)
        shed = (5, "h2", "shed", RID, {
            "cell": "llm/0", "reason": "overload", "waited_s": 0.1})
        refused = _entry_event(6, "refused", 1, reason="overload")
        answered = _entry_event(7, "answered", 1, reason="overload",
                                outcome="not_run")
        lost = _entry_event(7, "answered", 1, reason="backend_lost",
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
                explanation = explanations.explain(_events(events), RID)
                self.assertEqual((outcome, reason),
                                 (explanation.outcome, explanation.reason))
                self.assertEqual(bool(reason), bool(explanation.hint))

    def test_an_unknown_request(self):
        self.assertIsNone(explanations.explain(_events(RETRIED), "h1.1.9"))

    def test_every_recorded_kind_has_a_template(self):
        """A kind without a template would be shown as raw fields only."""
        call = re.compile(
            r'(?:Record|record|record_order)\(\s*(?:\w+,\s*)?'
            r'"([a-z_]*[a-z])"')
        kinds = {kind for path in CORE.rglob("*.py")
                 for kind in call.findall(path.read_text())}
        self.assertGreater(len(kinds), 20)
        self.assertEqual(set(), kinds - set(descriptions.EVENT_TEMPLATES))
