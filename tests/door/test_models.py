"""The model that a request names, and answers in one piece."""

import dataclasses
import unittest

from crocuskeel.core.door import running
from crocuskeel.core import effects
from crocuskeel.core import events
from tests.door import driver


def _arrive(host, class_name, model, stream=True):
    rid = f"h1.1.{len(host.log)}"
    host.feed(events.RequestArrived(
        rid, driver.token("north"), "POST", "/v1/chat/completions",
        class_name, model, stream, 10, 0, 0, "d", "f"))
    return rid


def _problem(host, rid):
    return [each.problem for each in host.log
            if type(each) is effects.Answer and each.rid == rid]


class ModelTest(unittest.TestCase):
    """Which model an engine is asked for."""

    def test_a_model_that_the_service_lacks_is_refused_at_once(self):
        """One caller's misspelt model makes all engines look full.

        Each engine answered it with 503 and was taken for overloaded;
        the caller was told to come back, though it never can work.
        """
        host = driver.Host()
        rid = _arrive(host, "ramp", "gpt-of-tomorrow")
        found = _problem(host, rid)
        self.assertEqual(["bad_request"], [p.reason for p in found])
        self.assertIn("m", found[0].detail)
        self.assertEqual(["answer bad_request not_run"], host.labels())

    def test_the_model_that_goes_to_the_engine(self):
        rows = (
            # class header, model of the body, model put in its place
            ("ramp", "m", ""),
            ("ramp", "", "m"),
            # Clients that can't set a header give the class as model;
            # the engine knows no model of that name.
            ("", "ramp", "m"),
        )
        for class_name, model, wanted in rows:
            with self.subTest(class_name=class_name, model=model):
                host = driver.Host()
                rid = _arrive(host, class_name, model)
                host.grant(rid)
                opened = [each for each in host.log
                          if type(each) is effects.OpenAttempt]
                self.assertEqual([wanted], [e.model for e in opened])


class FirstByteTest(unittest.TestCase):
    """How long a first byte may take."""

    def test_a_whole_answer_has_until_its_deadline(self):
        """A summary asked for in one piece is run again and again.

        Its first byte comes when the last token is made. Bounded like a
        stream's, it was given up as silent, cancelled and run anew.
        """
        host = driver.Host()
        spans = {}
        for stream in (True, False):
            rid = _arrive(host, "bulk", "m", stream)
            req = host.request(rid)
            req.policy = dataclasses.replace(
                req.policy, target_ttft_s=0.1, deadline_s=60.0)
            req.deadline_at = host.now + 60.0
            spans[stream] = running.first_byte_s(req, host.now)
        self.assertEqual(3.0, spans[True])
        self.assertEqual(60.0, spans[False])
