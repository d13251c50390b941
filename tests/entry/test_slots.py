"""Tests that hosts together do not overfill the slots of an engine."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from tests.entry import support

SLOTS = 24
ENGINES = tuple(support.server(f"e{n}", "engines", slots=SLOTS)
                for n in range(12))
CHAT = support.stream("chat", priority=0, target_s=0.3, gap_s=0.25)
HOSTS = 7
CHATS = 154


class SlotsTest(unittest.TestCase):
    """No engine has more requests than slots, over all hosts."""

    def setUp(self):
        self.drivers = [support.Driver(CHAT, servers=ENGINES)
                        for _ in range(HOSTS)]
        self.sent = dict.fromkeys((s.sid for s in ENGINES), 0)
        self.key = 0

    def _arrive(self, driver, sends):
        self.key += 1
        out = driver.feed(events.RequestReceived(self.key, support.request(
            "/chat/1", prompt=support.prompt(own=100, shared=50),
            rid=f"r{self.key}", deadline_s=15.0)))
        for send in support.effects_of(out, effects.SendRequest):
            sid = send.server.sid
            self.sent[sid] += 1
            sends.append((driver, sid))

    def _report_loads(self, sends):
        for driver, sid in sends:
            number = self.drivers.index(driver)
            count = len(driver.host.servers[sid].own_attempts)
            for other in self.drivers:
                if other is not driver:
                    other.host.servers[sid].peer_loads.update(
                        f"h{number}", count, 0, 0, other.now)

    def _open_all(self):
        """Let all engines finish the prefill of their prompts."""
        for driver in self.drivers:
            for pending in list(driver.host.pending.values()):
                if pending.attempts and not pending.attempts[-1].opened:
                    driver.feed(events.StreamOpened(pending.key, 0, None))

    def test_hosts_that_learn_of_requests_with_a_delay(self):
        # Seven hosts fill the engines in one order, as long prompts are
        # prefilled at others. Each sees 23 of an engine's 24 slots in use
        # and sends one more request. One of a workspace with the first
        # priority then preempts a running stream: its prompt is prefilled
        # again, and its answer stops for seconds.
        for driver in self.drivers:
            for state in driver.host.servers.values():
                state.expected_pause_s, state.expected_pause_at = (
                    0.2, driver.now)
        for _ in range(CHATS // HOSTS):
            sends = []
            for driver in self.drivers:
                driver.now += 0.01
                self._arrive(driver, sends)
            self._report_loads(sends)
            self._open_all()
            self.assertLessEqual(max(self.sent.values()), SLOTS)
        self.assertEqual(CHATS, sum(self.sent.values()))
