"""Guards against refusals as not run of requests that may have run."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from tests.entry import support

PROMISES = (408, 421, 429, 503)
ROUTES = (support.route("safe"),
          support.route("once", model.Kind.UNSAFE, max_servers=1),
          support.route("stream", model.Kind.STREAM, max_servers=1))
SERVERS = (support.server("s1"), support.server("s2"))


class RefusalsTest(unittest.TestCase):
    """What a caller is told once a server may have run its request."""

    def _driver(self, *servers):
        return support.Driver(*ROUTES, servers=servers or SERVERS)

    def _final(self, out):
        """Return the status of the last answer; None if there is none."""
        for effect in out:
            if type(effect) is effects.Answer:
                return effect.status
            if type(effect) is effects.ForwardResponse:
                return "server's"
        return None

    def test_a_servers_answer_never_promises_that_it_has_not_run(self):
        for status in PROMISES:
            for path in ("/once/1", "/stream/1"):
                with self.subTest(status=status, path=path):
                    driver = self._driver()
                    driver.arrive(path=path)
                    out = driver.feed(events.ResponseReceived(
                        1, 0, status, None, True))
                    self.assertEqual(502, self._final(out))
                    self.assertEqual([], support.effects_of(
                        out, effects.SendRequest))

    def test_a_repeatable_request_is_sent_again_after_such_an_answer(self):
        for status in PROMISES:
            with self.subTest(status):
                driver = self._driver()
                driver.arrive(path="/safe/1")
                out = driver.feed(events.ResponseReceived(
                    1, 0, status, None, True))
                self.assertEqual(1, len(support.effects_of(
                    out, effects.SendRequest)))
                out = driver.feed(events.ResponseReceived(
                    1, 1, status, None, True))
                self.assertEqual(502, self._final(out))

    def test_an_earlier_failure_is_forwarded_instead(self):
        driver = self._driver()
        driver.arrive(path="/safe/1")
        driver.feed(events.ResponseReceived(1, 0, 500, None, True))
        out = driver.feed(events.ResponseReceived(1, 1, 503, None, True))
        (forwarded, ) = support.effects_of(out, effects.ForwardResponse)
        self.assertEqual(0, forwarded.attempt_number)

    def test_other_answers_are_forwarded_as_they_are(self):
        for status in (200, 302, 400, 404, 500, 504):
            with self.subTest(status):
                driver = self._driver()
                driver.arrive(path="/once/1")
                out = driver.feed(events.ResponseReceived(
                    1, 0, status, None, True))
                self.assertEqual("server's", self._final(out))

    def test_what_a_server_did_not_run_can_be_retried(self):
        driver = self._driver(SERVERS[0])
        for outcome in (model.Outcome.NOT_RUN, model.Outcome.MISDIRECTED):
            driver.arrive(path="/once/1")
            out = driver.feed(events.AttemptFailed(1, 0, outcome))
            (answer, ) = support.effects_of(out, effects.Answer)
            self.assertEqual(503, answer.status)
            self.assertIsNotNone(answer.retry_delay_s)


if __name__ == "__main__":
    unittest.main()
