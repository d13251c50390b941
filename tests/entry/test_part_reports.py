"""What hosts tell each other of prompt parts, and how much they keep."""

import unittest

from crocuskeel.core.entry import crash_records as records
from crocuskeel.core.entry import crash_reports
from crocuskeel.core.entry import crash_updates
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import part_quarantine
from crocuskeel.core.entry import prompt_parts
from crocuskeel.gateway import gossip
from tests.entry import part_driver
from tests.entry import support


class ReportTest(unittest.TestCase):
    """What hosts tell each other of parts."""

    def _tell(self, driver, other):
        """Have a host hear another one's state, as on the wire."""
        state = gossip.decode(gossip.encode(driver.state()))
        other.feed(state)

    def test_host_that_starts_learns_which_part_it_is(self):
        # It let prompts run that all others refused.
        driver = part_driver.PartDriver()
        driver.feed(events.PeersListed((support.peer("other"),)))
        driver.serve("shared")
        driver.convict("shared", "x")
        driver.now += 30.0
        other = part_driver.PartDriver(name="other")
        other.now = driver.now
        self._tell(driver, other)
        self.assertIsNone(other.ask("new", "x"))
        self.assertIsNotNone(other.ask("shared"))

    def test_losses_at_several_hosts_add_up(self):
        hosts = [part_driver.PartDriver(name=name) for name in "ab"]
        hosts[0].feed(events.PeersListed((support.peer("b"),)))
        hosts[1].feed(events.PeersListed((support.peer("a"),)))
        for number in (1, 2, 3):
            driver, other = hosts[number % 2], hosts[1 - number % 2]
            driver.crash_by("x", sid=f"s{number}")
            other.now = driver.now
            self._tell(driver, other)
        self.assertGreater(hosts[0].left_s("x"), 0)
        self.assertGreater(hosts[1].left_s("x"), 0)

    def test_answer_at_another_host_is_a_proof(self):
        driver = part_driver.PartDriver()
        driver.feed(events.PeersListed((support.peer("other"),)))
        other = part_driver.PartDriver(name="other")
        other.feed(events.PeersListed((support.peer("me"),)))
        driver.convict("x")
        other.now = driver.now
        self._tell(driver, other)
        other.now = driver.now = driver.now + part_quarantine.QUARANTINE_S
        other.serve("x", sid="s4")
        driver.now = other.now
        self._tell(other, driver)
        self.assertIsNotNone(driver.ask("x"))
        self.assertIsNotNone(driver.ask("x"))

    def test_host_that_lost_a_request_tells_which_parts_were_sound(self):
        # One that has answered nothing yet blamed a part that is in use.
        driver = part_driver.PartDriver()
        driver.feed(events.PeersListed((support.peer("other"),)))
        driver.serve("shared")
        other = part_driver.PartDriver(name="other")
        for number in (1, 2, 3):
            driver.crash_by("shared", sid=f"s{number}")
            other.now = driver.now
            self._tell(driver, other)
        self.assertEqual(0, other.left_s("shared"))

    def test_rows_are_read_as_they_were_written(self):
        reports = (
            records.Report(records.Kind.LOST, 1.0, "d", "s1", "s1/1",
                           parts=("aa", "bb")),
            records.Report(records.Kind.SOUND, 1.0, parts=("cc",)))
        rows = crash_reports.rows(reports, 2.0)
        self.assertEqual(["lost", "parts", "sound"], [row[0] for row in rows])
        event = gossip.decode(gossip.encode(
            events.CrashReportsReceived("me", rows)))
        self.assertEqual(rows, event.reports)

    def _merge(self, driver, report):
        rows = crash_reports.rows((report,), driver.now)
        crash_reports.merge(driver.host, "other", rows, driver.now)
        return [queued.report.kind
                for queued in driver.host.crash_records.reports]

    def test_a_proof_is_passed_on_once(self):
        # Each hop made it a little later, so that hosts passed it on to each
        # other for ever.
        driver = part_driver.PartDriver()
        driver.crash_by("x", sid="s1")
        keys = prompt_parts.keys_of("engines", part_driver.prompt("x"))
        driver.host.crash_records.reports.clear()
        for delay_s in (0.0, 0.003, 0.006):
            found = self._merge(driver, records.Report(
                records.Kind.SOUND, driver.now - 9.0 + delay_s, parts=keys))
            self.assertEqual([records.Kind.SOUND], found)

    def test_parts_of_a_loss_that_is_not_known_are_left(self):
        # Hosts would forget them and take them for news in turns.
        driver = part_driver.PartDriver()
        self.assertEqual([], self._merge(driver, records.Report(
            records.Kind.PARTS, driver.now, "d", parts=("k",))))
        self.assertEqual({}, driver.host.crash_records.parts)

    def test_parts_beyond_the_limit_are_no_news(self):
        driver = part_driver.PartDriver()
        driver.crash_by("x", sid="s1")
        (digest,) = driver.host.crash_records.parts
        driver.host.crash_records.reports.clear()
        many = tuple(f"k{number}" for number in range(
            prompt_parts.MAX_LOST_PARTS + 5))
        for _ in range(3):
            found = self._merge(driver, records.Report(
                records.Kind.PARTS, driver.now, digest, parts=many))
        self.assertEqual([records.Kind.PARTS], found)

    def test_sound_parts_are_not_reported_while_nothing_crashes(self):
        driver = part_driver.PartDriver()
        driver.feed(events.PeersListed((support.peer("other"),)))
        driver.serve("x")
        self.assertEqual((), driver.state().crash_reports)


class BoundsTest(unittest.TestCase):
    """What callers may send without harm to others."""

    def test_flood_of_new_parts_pushes_out_neither_verdict_nor_proof(self):
        driver = part_driver.PartDriver()
        driver.convict("x")
        for number in range(prompt_parts.MAX_SOUND + 10):
            if number % 500 == 0:
                driver.serve("common")
            driver.serve(f"p{number}")
        known = driver.host.crash_records
        driver.ask("x")
        self.assertIsNone(driver.ask("x"))
        self.assertLessEqual(len(known.sound), prompt_parts.MAX_SOUND)
        (key,) = prompt_parts.keys_of("engines", part_driver.prompt("common"))
        self.assertIn(key, known.sound)

    def test_flood_of_lost_requests_doesnt_push_out_a_verdict(self):
        driver = part_driver.PartDriver()
        driver.convict("x")
        known = driver.host.crash_records
        for number in range(2 * prompt_parts.MAX_LOST):
            prompt_parts.note_lost_parts(
                driver.host, f"d{number}", (f"k{number}",), driver.now)
            crash_updates.record_crash(driver.host, records.Report(
                records.Kind.CRASHED, driver.now, f"d{number}", "s",
                f"s{number % 50}/1", records.Sign.REFUSED), driver.now)
        driver.feed(events.Ticked(0.0))
        known.causes = None
        limit = prompt_parts.MAX_LOST + 3
        self.assertLessEqual(len(known.parts), limit)
        self.assertLessEqual(len(known.candidates), limit)
        self.assertIsNone(driver.ask("x"))

    def test_many_other_crashes_dont_push_out_a_verdict(self):
        driver = part_driver.PartDriver()
        driver.convict("x")
        for number in range(crash_updates.MAX_CRASHES + 10):
            crash_updates.record_crash(driver.host, records.Report(
                records.Kind.CRASHED, driver.now, f"d{number}", "s",
                f"s{number}/9", records.Sign.REFUSED), driver.now)
        self.assertIsNone(driver.ask("x"))

    def test_lost_prompts_of_many_parts_are_bounded(self):
        driver = part_driver.PartDriver()
        many = [f"p{number}" for number in range(400)]
        driver.serve(*many)
        driver.now += 1.0
        for number in (1, 2, 3):
            driver.crash_by(*many[:200], "x", *many[200:], sid=f"s{number}")
        known = driver.host.crash_records
        self.assertTrue(all(len(keys) <= prompt_parts.MAX_LOST_PARTS
                            for keys in known.parts.values()))
        self.assertIsNone(driver.ask("x"))
        self.assertIsNotNone(driver.ask(*many))

    def test_odd_prompts(self):
        self.assertEqual((), prompt_parts.keys_of("engines", None))
        for parts, count in (((), 0), ((("a", 1),), 0),
                             ((("a", 1), ("a", 2), ("b", 3)), 1)):
            with self.subTest(parts=parts):
                asked = model.Prompt(parts, 1, 1)
                self.assertEqual(count, len(
                    prompt_parts.keys_of("engines", asked)))


if __name__ == "__main__":
    unittest.main()
