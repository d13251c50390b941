"""Tests how requests are answered when servers fail."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from tests.entry import support

PAIR = (support.server("s1"), support.server("s2"))
ENGINES = (support.server("e1", "engines"),
           support.server("e2", "engines"))
UNSAFE = support.route(kind=model.Kind.UNSAFE, max_servers=2)
SAFE = support.route()
CALL = support.route(target_s=0.4)
STREAM = support.stream()
ONCE = support.stream(resumable=False, max_servers=1)


def _broken(outcome, attempt_number=0, disconnected=False):
    return events.AttemptFailed(1, attempt_number, outcome, "", disconnected)


class PlainTest(unittest.TestCase):
    """Requests to plain services."""

    def test_outcomes_of_the_first_attempt(self):
        # An unsafe request must not run twice, and "not run" must be true:
        # a request that was sent and not answered may have run.
        rows = (
            (UNSAFE, model.Outcome.DISCONNECTED, None, 502),
            (UNSAFE, model.Outcome.MALFORMED, None, 502),
            (UNSAFE, model.Outcome.NOT_RUN, True, None),
            (UNSAFE, model.Outcome.MISDIRECTED, True, None),
            (UNSAFE, model.Outcome.UNREACHABLE, True, None),
            (UNSAFE, model.Outcome.REFUSED, True, None),
            (SAFE, model.Outcome.DISCONNECTED, True, None),
            (SAFE, model.Outcome.MALFORMED, True, None),
            (SAFE, model.Outcome.NOT_RUN, True, None),
        )
        for route, outcome, again, status in rows:
            with self.subTest(kind=route.kind, outcome=outcome):
                driver = support.Driver(route, servers=PAIR)
                driver.arrive()
                out = driver.feed(_broken(outcome), 0.01)
                self.assertEqual(
                    bool(again),
                    bool(support.effects_of(out, effects.SendRequest)))
                answers = support.effects_of(out, effects.Answer)
                self.assertEqual([status] if status else [],
                                 [answer.status for answer in answers])

    def test_refusal_names_a_retry_delay(self):
        route = support.route(kind=model.Kind.UNSAFE, max_servers=1)
        driver = support.Driver(route, servers=PAIR)
        driver.arrive(deadline_s=0.6)
        out = driver.feed(_broken(model.Outcome.NOT_RUN), 0.01)
        (answer,) = support.effects_of(out, effects.Answer)
        self.assertEqual(503, answer.status)
        self.assertLessEqual(answer.retry_delay_s, 0.2)

    def test_reported_load_of_a_server(self):
        # A report without a percentage means the usual speed: the former
        # percentage would otherwise stay in force.
        driver = support.Driver(SAFE, servers=PAIR[:1])
        state = driver.host.servers[PAIR[0].sid]
        self.assertEqual(100, state.work_percent)
        for key, load, expected in ((1, (2, 1, 8, 250), (3, 250)),
                                    (2, None, (3, 250)),
                                    (3, (4, 1, 8), (5, 100))):
            driver.arrive(key)
            driver.feed(events.ResponseReceived(key, 0, 200, load, True), 0.1)
            self.assertEqual(
                expected, (state.reported_load, state.work_percent))

    def test_server_error_is_passed_on_if_the_retry_fails_too(self):
        driver = support.Driver(SAFE, servers=PAIR)
        driver.arrive()
        out = driver.feed(events.ResponseReceived(1, 0, 500, None, True), 0.01)
        self.assertEqual(1, len(support.effects_of(out, effects.SendRequest)))
        out = driver.feed(events.ResponseReceived(1, 1, 500, None, True), 0.01)
        self.assertEqual([effects.ForwardResponse(1, 1)],
                         support.effects_of(out, effects.ForwardResponse))

    def test_timeout(self):
        # The caller is answered before it stops waiting, and 504 tells
        # nothing about whether the request ran.
        driver = support.Driver(UNSAFE, servers=PAIR)
        driver.arrive()
        out = driver.feed(events.TimerFired(1), 1.98)
        self.assertEqual([effects.Cancel(1, 0)],
                         support.effects_of(out, effects.Cancel))
        (answer,) = support.effects_of(out, effects.Answer)
        self.assertEqual((504, None), (answer.status, answer.retry_delay_s))

    def test_slow_call_is_hedged(self):
        driver = support.Driver(CALL, servers=PAIR)
        first = support.effects_of(driver.arrive(), effects.SendRequest)[0]
        out = driver.feed(events.TimerFired(1), 0.2)
        second = support.effects_of(out, effects.SendRequest)[0]
        self.assertNotEqual(first.server.sid, second.server.sid)
        out = driver.feed(events.ResponseReceived(1, 1, 200, None, True), 0.05)
        self.assertEqual([effects.Cancel(1, 0)],
                         support.effects_of(out, effects.Cancel))
        self.assertEqual([effects.ForwardResponse(1, 1)],
                         support.effects_of(out, effects.ForwardResponse))

    def test_retries_stay_within_the_hosts_budget(self):
        # All servers fail at once. If each request were sent twice, their
        # load would double while they can't serve it.
        driver = support.Driver(SAFE, servers=PAIR, repeat_slack=10)
        retries = 0
        for key in range(100):
            driver.feed(events.RequestReceived(key, support.request()))
            out = driver.feed(events.ResponseReceived(key, 0, 500, None, True))
            retries += len(support.effects_of(out, effects.SendRequest))
        self.assertGreater(retries, 5)
        self.assertLessEqual(retries, 0.2 * 100 + 10)

    def test_disconnected_caller_cancels_its_attempts(self):
        driver = support.Driver(SAFE, servers=PAIR)
        driver.arrive()
        out = driver.feed(events.CallerDisconnected(1), 0.1)
        self.assertEqual([effects.Cancel(1, 0)],
                         support.effects_of(out, effects.Cancel))
        self.assertEqual([], driver.feed(events.ResponseReceived(
            1, 0, 200, None, True)))
        self.assertEqual({}, driver.host.servers["s1"].own_attempts)

    def test_host_without_configuration_answers_503(self):
        # Callers would take 401 or 404 from a host that just started as
        # final.
        driver = support.Driver()
        (answer,) = support.effects_of(driver.arrive(), effects.Answer)
        self.assertEqual(503, answer.status)
        self.assertGreater(answer.retry_delay_s, 0)


class StreamTest(unittest.TestCase):
    """Requests to model engines."""

    def test_broken_stream_resumes_at_another_engine(self):
        driver = support.Driver(STREAM, servers=ENGINES)
        first = support.effects_of(driver.arrive(
            path="/advice/1", prompt=support.prompt()), effects.SendRequest)[0]
        driver.feed(events.StreamOpened(1, 0, None), 0.1)
        out = driver.feed(
            _broken(model.Outcome.DISCONNECTED, disconnected=True), 0.1)
        (again,) = support.effects_of(out, effects.SendRequest)
        self.assertTrue(again.resume)
        self.assertNotEqual(first.server.sid, again.server.sid)

    def test_broken_stream_that_cannot_resume_is_cut(self):
        driver = support.Driver(ONCE, servers=ENGINES)
        driver.arrive(path="/advice/1", prompt=support.prompt())
        driver.feed(events.StreamOpened(1, 0, None), 0.1)
        out = driver.feed(_broken(model.Outcome.DISCONNECTED), 0.1)
        self.assertEqual(1, len(support.effects_of(out, effects.AbortStream)))
        self.assertEqual([], support.effects_of(out, effects.SendRequest))

    def test_silent_stream_is_cancelled_before_it_is_moved(self):
        # An engine hangs in mid-stream with its connection open. The attempt
        # there is cancelled first, so that two never run at once.
        driver = support.Driver(STREAM, servers=ENGINES)
        driver.arrive(path="/advice/1", prompt=support.prompt())
        driver.feed(events.StreamOpened(1, 0, None), 0.1)
        out = driver.feed(events.TimerFired(1), 0.5)
        kinds = [type(effect) for effect in out]
        self.assertLess(kinds.index(effects.Cancel),
                        kinds.index(effects.SendRequest))

    def test_moved_stream_gets_time_for_its_prefill(self):
        # A host is paused for two seconds in mid-stream, takes the engine
        # for silent and moves the stream. 0.1 s later it moved it again,
        # before the new engine could prefill the prompt, and the request
        # ran on more servers than its route allows.
        driver = support.Driver(support.stream(max_servers=3), servers=(
            *ENGINES, support.server("e3", "engines")))
        driver.arrive(path="/advice/1", prompt=support.prompt(),
                      deadline_s=8.0)
        driver.feed(events.StreamOpened(1, 0, None), 0.1)
        out = driver.feed(events.TimerFired(1), 2.0)
        self.assertEqual(1, len(support.effects_of(out, effects.SendRequest)))
        driver.now = support.effects_of(out, effects.SetRequestTimer)[0].at
        out = driver.feed(events.TimerFired(1))
        self.assertEqual([], support.effects_of(out, effects.Cancel))

    def test_moved_stream_may_have_run(self):
        # An engine accepts a request and hangs; the request is moved, and
        # the next engine is full. "Not run" would be false: the first
        # engine may still run it.
        driver = support.Driver(STREAM, servers=ENGINES)
        driver.arrive(path="/advice/1", prompt=support.prompt())
        out = driver.feed(events.TimerFired(1), 2.0)
        self.assertEqual(1, len(support.effects_of(out, effects.Cancel)))
        out = driver.feed(_broken(model.Outcome.NOT_RUN, 1), 0.01)
        (answer,) = support.effects_of(out, effects.Answer)
        self.assertEqual(502, answer.status)

    def test_stream_with_progress_is_not_moved(self):
        driver = support.Driver(STREAM, servers=ENGINES)
        driver.arrive(path="/advice/1", prompt=support.prompt())
        driver.feed(events.StreamOpened(1, 0, None), 0.1)
        for _ in range(5):
            driver.feed(events.StreamProgressed(1, 0), 0.3)
            out = driver.feed(events.TimerFired(1), 0.01)
            self.assertEqual([], support.effects_of(out, effects.Cancel))

    def _load(self, driver, reading, tokens):
        for state in driver.host.servers.values():
            state.peer_loads.update("host-1", reading, tokens, reading,
                                    driver.now)

    def test_broken_stream_is_queued_for_capacity(self):
        # An engine crashes under load: hundreds of streams resumed at once,
        # each with a prefill of its whole prompt, and all engines were late
        # for four seconds.
        driver = support.Driver(STREAM, servers=ENGINES)
        driver.arrive(path="/advice/1", prompt=support.prompt())
        driver.feed(events.StreamOpened(1, 0, None), 0.1)
        self._load(driver, 9, 90_000)
        out = driver.feed(
            _broken(model.Outcome.DISCONNECTED, disconnected=True), 0.01)
        self.assertEqual([], support.effects_of(out, effects.SendRequest))
        (timer,) = support.effects_of(out, effects.SetRequestTimer)
        self._load(driver, 0, 0)
        driver.now = timer.at
        out = driver.feed(events.TimerFired(1))
        self.assertTrue(support.effects_of(out, effects.SendRequest)[0].resume)

    def test_unreached_request_passes_admission_again(self):
        # Its first engine is gone. Sent on regardless of the load, it would
        # join the longest queue.
        driver = support.Driver(STREAM, servers=ENGINES)
        driver.arrive(path="/advice/1", prompt=support.prompt(),
                      deadline_s=8.0)
        self._load(driver, 9, 90_000)
        out = driver.feed(_broken(model.Outcome.REFUSED), 0.01)
        self.assertEqual([], support.effects_of(out, effects.SendRequest))
        driver.now += 1.0
        self._load(driver, 9, 90_000)
        out = driver.feed(events.TimerFired(1))
        (answer,) = support.effects_of(out, effects.Answer)
        self.assertEqual(503, answer.status)
        self.assertIsNotNone(answer.retry_delay_s)

    def _moved_after(self, heard_until):
        """Wait 5 s for a first event; return when the stream is moved.

        Its engine is heard for ``heard_until`` seconds.
        """
        driver = support.Driver(STREAM, servers=ENGINES)
        driver.arrive(path="/advice/1", prompt=support.prompt(),
                      deadline_s=8.0)
        sid = driver.host.pending[1].attempts[0].sid
        timer = driver.host.pending[1].arrived_at + 0.5
        while timer < support.NOW + 5:
            heard = min(timer, support.NOW + heard_until)
            driver.host.servers[sid].last_seen_at = heard
            driver.now = timer
            out = driver.feed(events.TimerFired(1))
            if support.effects_of(out, effects.Cancel):
                return timer - support.NOW
            timer = support.effects_of(out, effects.SetRequestTimer)[0].at
        return None

    def test_waiting_stream_stays_while_its_engine_is_heard(self):
        # Under load first tokens are late. Moving a request whose engine
        # works on others would only put it at the end of another queue.
        self.assertIsNone(self._moved_after(heard_until=5))

    def test_waiting_stream_is_moved_when_its_engine_is_silent(self):
        # An engine is heard once more after a request was sent, then hangs
        # with the connection open. The caller waited until the timeout of
        # eight seconds.
        self.assertLess(self._moved_after(heard_until=0.4), 2.2)

    def test_silent_engine_gets_no_more_requests(self):
        driver = support.Driver(STREAM, servers=ENGINES)
        driver.arrive(path="/advice/1", prompt=support.prompt())
        silent = driver.host.pending[1].attempts[0].sid
        driver.now += 2.0
        driver.arrive(2, path="/advice/1", prompt=support.prompt())
        self.assertNotEqual(silent, driver.host.pending[2].attempts[0].sid)
