"""Tests of model selection and of the first byte timeout."""

import dataclasses
import unittest

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core.frontend import running
from tests.frontend import driver


def _arrive(host, class_name, model, stream=True):
    rid = f"h1.1.{len(host.log)}"
    host.feed(events.RequestArrived(
        rid, driver.token("north"), "POST", "/v1/chat/completions",
        class_name, model, stream, 10, 0, 0, "d", "f"))
    return rid


def _problem(host, rid):
    return [each.problem for each in host.log
            if type(each) is effects.Answer and each.rid == rid]


class ModelSelectionTest(unittest.TestCase):
    """The model that an engine is asked for."""

    def test_unknown_model_is_refused(self):
        """A misspelled model name makes all engines look overloaded.

        Each engine answered 503 and was treated as overloaded, and the
        caller was told to retry a request that can never succeed.
        """
        host = driver.Host()
        rid = _arrive(host, "ramp", "gpt-of-tomorrow")
        found = _problem(host, rid)
        self.assertEqual(["bad_request"], [p.reason for p in found])
        self.assertIn("m", found[0].detail)
        self.assertEqual(["answer bad_request not_run"], host.labels())

    def test_model_sent_to_the_engine(self):
        rows = (
            # class header, model in the body, model that replaces it
            ("ramp", "m", ""),
            ("ramp", "", "m"),
            # Clients that can't set a header pass the class as the
            # model; the engine has no model of that name.
            ("", "ramp", "m"),
        )
        for class_name, model, expected in rows:
            with self.subTest(class_name=class_name, model=model):
                host = driver.Host()
                rid = _arrive(host, class_name, model)
                host.grant(rid)
                opened = [each for each in host.log
                          if type(each) is effects.OpenAttempt]
                self.assertEqual([expected], [e.model for e in opened])


class FirstByteTimeoutTest(unittest.TestCase):
    """The timeout for the first byte."""

    def test_non_streamed_answer_has_until_its_deadline(self):
        """A request for a non-streamed answer is run repeatedly.

        Its first byte comes after the last token is generated. With the
        timeout of a stream it was cancelled as stalled and run again.
        """
        host = driver.Host()
        timeouts = {}
        for stream in (True, False):
            rid = _arrive(host, "bulk", "m", stream)
            req = host.request(rid)
            req.policy = dataclasses.replace(
                req.policy, target_ttft_s=0.1, deadline_s=60.0)
            req.deadline_at = host.now + 60.0
            timeouts[stream] = running.first_byte_timeout_s(req, host.now)
        self.assertEqual(3.0, timeouts[True])
        self.assertEqual(60.0, timeouts[False])
