"""Backend servers that restart under the same id."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import prefill_pauses
from crocuskeel.core.entry import prefix_cache
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import server_load
from tests.entry import support

CHAT = support.stream("chat", resumable=False, max_servers=1)
ADVICE = support.stream()


def _engine(sid="e0", born=1_000, **kwargs):
    return support.server(sid, "engines", started_ms=born, **kwargs)


class RestartTest(unittest.TestCase):
    """Nothing that was recorded about the former process applies."""

    def setUp(self):
        self.driver = support.Driver(
            CHAT, ADVICE, servers=(_engine(), _engine("e1")))

    def _state(self):
        return self.driver.host.servers["e0"]

    def _restart(self, after=0.0, born=9_000):
        return self.driver.feed(events.ServersChanged(
            (_engine(born=born),), (), 6), after)

    def test_the_state_of_the_former_process_is_discarded(self):
        # A restarted engine holds no prompt parts, but hosts kept sending
        # it prompts whose parts it had held, and each had to wait for
        # 13,000 tokens to be read. It was also avoided as slow and failing,
        # which its former process was.
        state = self._state()
        prefix_cache.add_part(state, "shared", 13_000, 5e5, 0)
        state.slowness, state.failure_rate, state.failure_count = 5.0, 0.9, 3
        state.suspect_until = self.driver.now + 4
        state.peer_loads.update("host-1", 9, 90_000, 9, self.driver.now)
        prefill_pauses.note_prefill(state, 0.5, self.driver.now)
        out = self._restart()
        state = self._state()
        self.assertEqual({}, dict(state.parts))
        self.assertEqual((1.0, 0.0, 0), (
            state.slowness, state.failure_rate, state.failure_count))
        self.assertEqual(0.0, state.suspect_until)
        self.assertEqual(0, server_load.queued_tokens(state, self.driver.now))
        self.assertEqual(
            0.0, prefill_pauses.expected_pause_s(state, self.driver.now))
        self.assertIn("server_restarted", [
            effect.event
            for effect in support.effects_of(out, effects.LogEvent)])

    def test_a_changed_entry_alone_is_no_restart(self):
        prefix_cache.add_part(self._state(), "shared", 13_000, 5e5, 0)
        self.driver.feed(events.ServersChanged(
            (_engine(warmup_left_s=1.0),), (), 6))
        self.assertIn("shared", self._state().parts)

    def test_a_first_reported_start_time_is_no_restart(self):
        # A server's first entry may lack the start time of a later one.
        self.driver.feed(events.ServersListed(
            (_engine(born=None), _engine("e1")), 6))
        self.driver.feed(events.ServersChanged((), ("e1",), 7))
        prefix_cache.add_part(self._state(), "shared", 13_000, 5e5, 0)
        self.driver.arrive(path="/chat/1", prompt=support.prompt(),
                           deadline_s=8.0)
        out = self._restart(after=5.0)
        self.assertEqual([], support.effects_of(out, effects.Cancel))
        self.assertIn("shared", self._state().parts)

    def test_a_late_report_of_the_former_process_is_no_restart(self):
        # It ended the calls to the live process, and so did the next report
        # of that one.
        self._restart()
        self.driver.arrive(path="/chat/1", prompt=support.prompt(),
                           deadline_s=8.0)
        self.driver.feed(events.ServersChanged((), ("e1",), 7))
        prefix_cache.add_part(self._state(), "shared", 13_000, 5e5, 0)
        for born in (1_000, 9_000):
            out = self._restart(after=3.0, born=born)
            self.assertEqual([], support.effects_of(out, effects.Cancel))
            self.assertIn("shared", self._state().parts)
            self.assertEqual(9_000, self._state().server.started_ms)
        self.assertNotEqual(
            [], support.effects_of(self._restart(born=9_001),
                                   effects.LogEvent))

    def test_the_list_shows_a_restart_as_well(self):
        prefix_cache.add_part(self._state(), "shared", 13_000, 5e5, 0)
        self.driver.feed(events.ServersListed(
            (_engine(born=9_000), _engine("e1")), 7))
        self.assertEqual({}, dict(self._state().parts))

    def test_requests_of_the_former_process_are_ended(self):
        # An engine lost power during a stream and was back in seconds. Its
        # connections were dead without being reset: callers waited for
        # their whole time limit.
        self.driver.feed(events.ServersChanged((), ("e1",), 6))
        self.driver.arrive(path="/chat/1", prompt=support.prompt(),
                           deadline_s=8.0)
        self.driver.feed(events.StreamOpened(1, 0, None), 0.1)
        out = self._restart(after=5.0)
        self.assertEqual(1, len(support.effects_of(out, effects.Cancel)))
        self.assertEqual(1, len(support.effects_of(out, effects.AbortStream)))
        self.assertEqual({}, self.driver.host.pending)
        self.assertEqual({}, self._state().own_attempts)

    def test_a_request_without_a_first_event_may_have_run(self):
        self.driver.feed(events.ServersChanged((), ("e1",), 6))
        self.driver.arrive(path="/chat/1", prompt=support.prompt(),
                           deadline_s=8.0)
        out = self._restart(after=5.0)
        (answer,) = support.effects_of(out, effects.Answer)
        self.assertEqual(502, answer.status)

    def test_a_repeatable_stream_continues_on_another_server(self):
        for state in self.driver.host.servers.values():
            state.suspect_until = 0.0
        self.driver.arrive(path="/advice/1", prompt=support.prompt(),
                           deadline_s=8.0)
        (attempt,) = self.driver.host.pending[1].attempts
        former = self.driver.host.servers[attempt.sid].server
        other = "e1" if former.sid == "e0" else "e0"
        out = self.driver.feed(events.ServersChanged(
            (_engine(former.sid, born=9_000),), (), 6), 5.0)
        (sent,) = support.effects_of(out, effects.SendRequest)
        self.assertEqual(other, sent.server.sid)

    def test_requests_of_the_new_process_continue(self):
        # The entry of a restarted process comes some seconds after its
        # start: requests that it began before then are its own.
        self.driver.feed(events.ServersChanged((), ("e1",), 6))
        self.driver.arrive(path="/chat/1", prompt=support.prompt(),
                           deadline_s=8.0)
        self.driver.feed(events.StreamOpened(1, 0, None), 0.1)
        out = self._restart(after=0.2)
        self.assertEqual([], support.effects_of(out, effects.Cancel))
        self.driver.feed(events.StreamEnded(1, 0), 0.1)
        self.assertEqual({}, self._state().own_attempts)
        self.assertEqual({}, self._state().streams_by_gap)

    def test_two_crashes_of_one_server_count_as_two(self):
        # A request crashed its engine, which restarted under the same id
        # and crashed again. Counted by id, that was only one server, and
        # the request was sent to further ones.
        for turn, born in ((1, 9_000), (2, 17_000)):
            self.driver.arrive(turn, path="/chat/1", rid=f"r{turn}",
                               prompt=support.prompt())
            (attempt,) = self.driver.host.pending[turn].attempts
            self.driver.feed(events.AttemptFailed(
                turn, 0, model.Outcome.DISCONNECTED, disconnected=True), 0.1)
            self.driver.feed(events.ServersChanged(
                (_engine(attempt.sid, born=born),), (), 5 + turn), 1.0)
            self.driver.host.servers["e1"].suspect_until = 1e9
        self.assertGreater(quarantine.time_left_s(
            self.driver.host, support.full_digest("d1"), self.driver.now), 0)


if __name__ == "__main__":
    unittest.main()
