"""Tests how latency-sensitive streams and long prompts share engines."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import pause_estimate
from crocuskeel.core.entry import prefill_pauses
from crocuskeel.core.entry import server_load
from tests.entry import support

ENGINES = tuple(support.server(f"e{n}", "engines") for n in range(4))
CHAT = support.stream("chat", priority=0, target_s=0.3, gap_s=0.2)
DRAFT = support.stream("draft", priority=2, target_s=2.0, gap_s=0.8)


def _driver(servers=ENGINES):
    return support.Driver(CHAT, DRAFT, servers=servers)


def _arrive(driver, name, key, tokens, after=0.0):
    """Return the id of the engine that gets the prompt, None if queued."""
    out = driver.feed(events.RequestReceived(key, support.request(
        f"/{name}/1", prompt=support.prompt(f"s{key}", 0, tokens),
        deadline_s=8.0, rid=f"r{key}")), after)
    sent = support.effects_of(out, effects.SendRequest)
    return sent[0].server.sid if sent else None


class ChooseTest(unittest.TestCase):
    """Which engines get streams and which get long prompts."""

    def test_chats_and_long_prompts_use_different_engines(self):
        # Half of the chats were late under low load: the prefill of 8,000
        # tokens pauses the streams of its engine for 200 ms, as long as a
        # chat may pause, and prompts were sent to any idle engine.
        driver = _driver()
        chats, drafts = set(), set()
        for key in range(0, 40, 2):
            drafts.add(_arrive(driver, "draft", key, 8_000, 0.2))
            driver.feed(events.StreamOpened(key, 0, None), 0.05)
            chats.add(_arrive(driver, "chat", key + 1, 600, 0.05))
            driver.feed(events.StreamOpened(key + 1, 0, None), 0.03)
            for old in (key - 12, key - 11):
                if old in driver.host.pending:
                    driver.feed(events.StreamEnded(old, 0))
        # The first prompt may have arrived before any chat.
        self.assertLessEqual(len(chats & drafts), 1)
        self.assertLessEqual(len(chats), 2)

    def test_all_hosts_fill_the_same_engines_with_chats(self):
        # Hosts that each chose different engines for chats would leave none
        # to long prompts.
        chosen = set()
        for _ in range(3):
            driver = _driver()
            for state in driver.host.servers.values():
                state.expected_pause_s, state.expected_pause_at = (
                    0.15, driver.now)
            chosen.add(_arrive(driver, "chat", 1, 600))
        self.assertEqual(1, len(chosen))

    def test_single_engine_serves_both(self):
        driver = _driver(ENGINES[:1])
        self.assertEqual("e0", _arrive(driver, "chat", 1, 600))
        driver.feed(events.StreamOpened(1, 0, None), 0.1)
        self.assertEqual("e0", _arrive(driver, "draft", 2, 8_000))
        driver.feed(events.StreamOpened(2, 0, None), 0.4)
        self.assertEqual("e0", _arrive(driver, "chat", 3, 600))

    def test_engine_without_prefill_is_safe_for_chats_again(self):
        driver = _driver()
        state = driver.host.servers["e1"]
        prefill_pauses.note_prefill(state, 0.4, driver.now)
        for after_s, expected in ((0, True), (4, False)):
            self.assertEqual(expected, prefill_pauses.is_at_risk(
                [state], pause_estimate.PauseEstimate(), CHAT,
                driver.now + after_s))


class AdmissionTest(unittest.TestCase):
    """Long prompts are queued if they would make streams late."""

    def _chats(self, driver, sids):
        for sid in sids:
            driver.host.servers[sid].peer_loads.update(
                "host-1", 5, 0, 0, driver.now, ((0, 200, 5),))

    def _busy(self, driver, sid):
        driver.host.servers[sid].peer_loads.update(
            "host-2", 3, 30_000, 3, driver.now, ((2, 800, 3),))

    def test_long_prompt_is_queued_if_it_delays_chats(self):
        # All engines with capacity were running chats: a burst of long
        # prompts was sent there, and pauses made 270 of 890 chats late.
        driver = _driver()
        self._chats(driver, ("e0", "e1"))
        self._busy(driver, "e2")
        self._busy(driver, "e3")
        self.assertIsNone(_arrive(driver, "draft", 1, 8_000))
        driver.now += 1.01
        self._chats(driver, ("e0", "e1"))
        self._busy(driver, "e2")
        self._busy(driver, "e3")
        out = driver.feed(events.TimerFired(1))
        self.assertEqual([], support.effects_of(out, effects.SendRequest))
        self.assertEqual(1, len(support.effects_of(out, effects.Answer)))

    def test_callers_retry_is_admitted_if_all_engines_run_chats(self):
        # All engines run chats all the time. Otherwise long prompts would
        # never be admitted.
        driver = _driver()
        self._chats(driver, [f"e{n}" for n in range(4)])
        self.assertIsNone(_arrive(driver, "draft", 1, 8_000))
        out = driver.feed(events.RequestReceived(2, support.request(
            "/draft/1", prompt=support.prompt("s2", 0, 8_000),
            deadline_s=5.0, rid="r2")))
        self.assertEqual(1, len(support.effects_of(out, effects.SendRequest)))

    def test_less_urgent_streams_delay_no_prompt(self):
        driver = _driver()
        for state in driver.host.servers.values():
            state.peer_loads.update(
                "host-1", 5, 0, 0, driver.now, ((3, 200, 5),))
        self.assertIsNotNone(_arrive(driver, "draft", 1, 8_000))


class CountTest(unittest.TestCase):
    """How many streams a prompt makes late."""

    def test_counts_streams_of_all_hosts_by_allowed_pause(self):
        driver = _driver()
        state = driver.host.servers["e0"]
        state.peer_loads.update("host-1", 5, 0, 0, driver.now,
                                ((0, 200, 3), (2, 800, 2)))
        self.assertEqual(0.0, prefill_pauses.late_streams(
            state, pause_estimate.PauseEstimate(), 0.0, 0.1))
        self.assertEqual(3.0, prefill_pauses.late_streams(
            state, pause_estimate.PauseEstimate(), 0.0, 0.2))
        self.assertEqual(5.0, prefill_pauses.late_streams(
            state, pause_estimate.PauseEstimate(), 0.0, 0.9))
        # A stream that is late already is not counted again.
        self.assertEqual(2.0, prefill_pauses.late_streams(
            state, pause_estimate.PauseEstimate(), 0.25, 0.6))

    def test_pause_of_0_in_a_report_of_another_host(self):
        # Each prompt to such an engine raised an error: hosts round it.
        driver = _driver()
        for state in driver.host.servers.values():
            state.peer_loads.update(
                "host-1", 5, 0, 0, driver.now, ((0, 0, 5), (0, -1, 1)))
        _arrive(driver, "draft", 1, 8_000)
        self.assertEqual(6.0, prefill_pauses.late_streams(
            state, pause_estimate.PauseEstimate(), 0.0, 0.1))

    def test_stream_counts_until_it_ends(self):
        driver = _driver()
        sid = _arrive(driver, "chat", 1, 600)
        state = driver.host.servers[sid]
        self.assertEqual({(0, 200): 1}, state.streams_by_gap)
        driver.feed(events.StreamOpened(1, 0, None), 0.1)
        self.assertEqual({(0, 200): 1}, state.streams_by_gap)
        driver.feed(events.StreamEnded(1, 0), 0.1)
        self.assertEqual({}, state.streams_by_gap)

    def test_reports_of_peers_expire(self):
        driver = _driver()
        state = driver.host.servers["e0"]
        state.peer_loads.update("host-1", 5, 0, 0, driver.now, ((0, 200, 3),))
        server_load.queued_tokens(state, driver.now + 2)
        self.assertEqual({}, state.peer_loads.streams_by_gap)


if __name__ == "__main__":
    unittest.main()
