"""Requests that wait at a host for an engine, end to end in the reducer."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.scheduling import settings
from tests.entry import support
from tests.scheduling import drivers

ENGINES = [drivers.engine("e1"), drivers.engine("e2")]


def fill(driver, count=4):
    """Send long prompts until the engines take no more of them."""
    out = []
    for number in range(count):
        out += driver.ask(drivers.AUDIT,
                          drivers.audit_prompt(f"part-{number}"))[1]
    return out


class QueueingTest(unittest.TestCase):

    def setUp(self):
        self.driver = drivers.Driver(ENGINES)

    def test_a_prompt_waits_past_its_target_and_is_sent_at_last(self):
        # A refusal costs the caller more time than the target: one that
        # could begin a moment later came back late, or was refused again.
        fill(self.driver)
        waiting = self.driver.waiting()
        self.assertTrue(waiting)
        self.assertEqual([], [key for key in waiting
                              if key not in self.driver.host.pending])
        for sid in ("e1", "e2"):
            first = next(iter(self.driver.host.servers[sid].own_attempts),
                         None)
            if first is not None:
                out = self.driver.opened(first[0], 0.4)
        self.assertIn(waiting[0], [key for key, _ in drivers.sent_to(out)])

    def test_a_more_urgent_prompt_goes_first(self):
        fill(self.driver)
        audits = self.driver.waiting()
        key, out = self.driver.ask(drivers.CHECK)
        if not drivers.sent_to(out):
            self.assertEqual([key, *audits], self.driver.waiting())

    def test_chats_find_an_engine_without_long_prompts(self):
        # Chats on engines that prefill long prompts paused for too long:
        # 79 of 469 were late on a day of high load.
        self.driver.ask(drivers.CHAT)
        out = fill(self.driver, 6)
        taken = {sid for _, sid in drivers.sent_to(out)}
        _, chat = self.driver.ask(drivers.CHAT)
        self.assertEqual(1, len(taken))
        self.assertNotIn(drivers.sent_to(chat)[0][1], taken)

    def test_one_that_cannot_begin_in_time_is_rejected_with_the_time(self):
        # An untimely retry is the caller's last one.
        rejected = []
        for number in range(300):
            out = self.driver.ask(drivers.AUDIT, drivers.audit_prompt(
                f"part-{number}"))[1]
            rejected += support.effects_of(out, effects.Answer)
        self.assertTrue(rejected)
        limit_s = drivers.AUDIT.timeout_s / 3
        for answer in rejected:
            self.assertEqual(503, answer.status)
            self.assertTrue(0 < answer.retry_delay_s <= limit_s)
        self.assertGreater(
            len({answer.retry_delay_s for answer in rejected}), 1)
        line = drivers.logged(out, "shed")[0]
        self.assertEqual("backlog", line["cause"])

    def test_no_healthy_engine_is_left_to_the_usual_way(self):
        # With all engines suspect a request must still be tried at one.
        for state in self.driver.host.servers.values():
            state.suspect_until = self.driver.now + 9.0
        _, out = self.driver.ask(drivers.CHAT)
        self.assertTrue(drivers.sent_to(out))

    def test_a_caller_that_leaves_makes_room(self):
        fill(self.driver)
        key = self.driver.waiting()[0]
        self.driver.feed(events.CallerDisconnected(key))
        self.assertNotIn(key, self.driver.waiting())

    def test_news_of_others_stops_nothing_when_it_ends(self):
        # Rows of a host that died expire; what waits here is then sent.
        self.driver.feed(events.PeerDemandReceived("other", (
            (drivers.SERVICE, "chat", 0, 90, 10_000_000),)))
        _, out = self.driver.ask(drivers.AUDIT, drivers.audit_prompt("a"))
        _, later = self.driver.ask(drivers.AUDIT, drivers.audit_prompt("b"),
                                   after=1.1)
        self.assertTrue(drivers.sent_to(out + later))

    def test_off_without_settings_that_call_for_it(self):
        driver = drivers.Driver(ENGINES, settings.Settings())
        fill(driver)
        self.assertEqual({}, driver.host.schedules)


if __name__ == "__main__":
    unittest.main()
