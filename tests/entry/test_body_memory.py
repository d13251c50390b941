"""Large request bodies are read only as far as the host's memory goes."""

import unittest

from crocuskeel.core.entry import body_memory
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import memory_events
from tests.entry import support

MB = 1 << 20
UPLOAD = support.route("upload", priority=1)
URGENT = support.route("urgent", priority=0)
DRAFT = support.route("draft", priority=2)
LIMIT = 100 * MB
RESIDENT = 50 * MB
# 100 MB x 0.9 - 50 MB, of which half is for bodies.
ROOM = 20 * MB


class BodyMemoryTest(unittest.TestCase):
    """A host of 100 MB, half of which its own state takes."""

    def setUp(self):
        self.driver = support.Driver(
            UPLOAD, URGENT, DRAFT, servers=(support.server("p1"),))
        self.sizes = {}
        self.refused = {}
        self._measure()
        self._feed(events.Ticked())

    def _measure(self, resident=RESIDENT, held=0):
        self._feed(memory_events.MemoryMeasured(LIMIT, resident, held))

    def _feed(self, event, after=0.0):
        out = self.driver.feed(event, after)
        for effect in out:
            if type(effect) is effects.ReadBody:
                self.read.append(effect.key)
            elif type(effect) is effects.RefuseBody:
                self.refused[effect.key] = effect
        return out

    read = ()

    def _announce(self, key, size, route=UPLOAD, deadline_s=8.0):
        self.read = []
        self._feed(memory_events.BodyAnnounced(
            key, support.request(f"/{route.name}/1", deadline_s=deadline_s),
            size))
        return self.read

    def _release(self, key, after=0.0):
        self.read = []
        self._feed(memory_events.BodyReleased(key), after)
        return self.read

    def test_burst_of_uploads_stays_within_the_budget(self):
        # A burst within the limits of each request took a host over its
        # memory; it was killed, and what it had passed on was lost.
        reading = [key for key in range(40) if self._announce(key, MB)]
        self.assertEqual(ROOM // MB, len(reading))
        self.assertEqual(ROOM, self.driver.host.memory.reserved)
        self.assertEqual([20], self._release(0))
        self.assertLessEqual(self.driver.host.memory.reserved, ROOM)

    def test_bodies_that_wait_too_long_are_refused_before_they_are_read(self):
        for key in range(21):
            self._announce(key, MB)
        self.assertEqual({}, self.refused)
        self._feed(events.Ticked(), body_memory.MAX_WAIT_S)
        refusal = self.refused[20]
        self.assertEqual(503, refusal.status)
        self.assertGreater(refusal.retry_delay_s, 0)

    def test_retry_delay_is_the_time_until_memory_is_free(self):
        # Ten of twenty megabytes a second become free.
        for key in range(20):
            self._announce(key, MB)
        for key in range(10):
            self._release(key)
        self._feed(events.Ticked(), 1.0)
        for key in range(20, 60):
            self._announce(key, MB)
        waiting = self.driver.host.memory.waiting
        self.assertEqual(5, len(waiting))
        self.assertEqual(25, len(self.refused))
        rate = self.driver.host.memory.free_rate
        for refusal in self.refused.values():
            self.assertAlmostEqual(
                6 * MB / rate, refusal.retry_delay_s, delta=0.01)

    def test_urgent_bodies_go_first_and_others_do_not_starve(self):
        for key in range(20):
            self._announce(key, MB)
        self._announce(100, MB, DRAFT)
        for key in range(200, 220):
            self._announce(key, MB, URGENT)
        read = [self._release(key) for key in range(body_memory.OLDEST_EVERY)]
        self.assertIn([100], read)
        self.assertEqual(3, sum(keys[0] >= 200 for keys in read))

    def test_large_body_is_not_overtaken_by_smaller_ones(self):
        for key in range(20):
            self._announce(key, MB)
        self._announce(100, 4 * MB)
        self._announce(101, MB)
        read = [self._release(key) for key in range(5)]
        self.assertEqual([[], [], [], [100], [101]], read)

    def test_body_larger_than_the_budget_is_read_alone(self):
        self._measure(resident=LIMIT)
        self.assertLess(self.driver.host.memory.for_bodies, 4 * MB)
        self.assertEqual([1], self._announce(1, 4 * MB))
        self.assertEqual([], self._announce(2, 4 * MB))
        self.assertEqual([2], self._release(1))

    def test_bodies_of_unknown_length_that_block_each_other_end(self):
        # Each has got a part of what it needs, and none can get the rest.
        for key in range(10):
            self.assertEqual([key], self._announce(key, 2 * MB))
        for key in range(10):
            self._announce(key, 4 * MB)
        self.assertEqual(10, len(self.driver.host.memory.waiting))
        self._feed(events.Ticked(), body_memory.MAX_WAIT_S)
        self._measure()
        memory = self.driver.host.memory
        self.assertEqual(memory.reserved, sum(
            body.size for body in (*memory.bodies.values(),
                                   *memory.waiting.values())))
        self.assertEqual(10, len(self.refused) + len(memory.bodies))

    def test_request_that_will_be_refused_gets_no_memory(self):
        out = self._feed(memory_events.BodyAnnounced(
            1, support.request("/nowhere/1"), 4 * MB))
        # Requests without a large body have this log line, too.
        self.assertEqual(["refused"], [
            effect.event for effect in out
            if type(effect) is effects.LogEvent])
        self.assertEqual(404, self.refused[1].status)
        self.assertIsNone(self.refused[1].retry_delay_s)
        self.assertEqual(0, self.driver.host.memory.reserved)

    def test_caller_that_leaves_while_it_waits_is_forgotten(self):
        for key in range(21):
            self._announce(key, MB)
        self._release(20)
        self.assertEqual({}, self.driver.host.memory.waiting)

    def test_new_requests_are_refused_while_too_much_is_held(self):
        # What is held besides large bodies can't be refused any more.
        def statuses():
            return [[effect.retry_delay_s for effect in self.driver.feed(
                events.RequestReceived(key, support.request(path)))
                if type(effect) is effects.Answer]
                for key, path in ((1, "/upload/1"), (2, "/urgent/1"))]

        self.assertEqual([[], []], statuses())
        self._measure(resident=92 * MB, held=42 * MB)
        (upload,), urgent = statuses()
        self.assertGreater(upload, 0)
        self.assertEqual([], urgent)
        self._measure(resident=97 * MB, held=47 * MB)
        self.assertEqual([1, 1], [len(found) for found in statuses()])
        self._measure()
        self.assertEqual([[], []], statuses())

    def test_begin_and_end_of_a_shortage_are_logged(self):
        # The budget may change as well as what is held.
        def lines(**measured):
            return [effect.fields["short"] for effect in self._feed(
                memory_events.MemoryMeasured(LIMIT, **measured))
                if type(effect) is effects.LogEvent]

        self.assertEqual([], lines(resident=60 * MB, held=20 * MB))
        self.assertEqual([True], lines(resident=95 * MB, held=20 * MB))
        self.assertEqual([], lines(resident=95 * MB, held=20 * MB))
        self.assertEqual([False], lines(resident=60 * MB, held=20 * MB))

    def test_unknown_memory_leaves_a_part_of_the_limit(self):
        self.assertEqual(25 * MB, body_memory.budget_bytes(
            LIMIT, None, 10 * MB))


class PausedStreamTest(unittest.TestCase):
    """Streams that this host doesn't read, as their callers read slowly."""

    def _moved(self, *paused):
        """Return whether a stream moves after its limit of silence."""
        driver = support.Driver(
            support.stream(), servers=(support.server("e1", "engines"),
                                       support.server("e2", "engines")))
        driver.feed(events.RequestReceived(
            1, support.request("/advice/1", support.prompt())))
        driver.feed(events.StreamOpened(1, 0, None))
        for value in paused:
            driver.feed(memory_events.StreamPaused(1, 0, value), 0.1)
        out = driver.feed(events.TimerFired(1), 1.0)
        return any(type(effect) is effects.SendRequest for effect in out)

    def test_stream_of_a_slow_caller_is_not_moved(self):
        # Its engine looks silent, but it is this host that doesn't read.
        self.assertTrue(self._moved())
        self.assertFalse(self._moved(True))
        self.assertTrue(self._moved(True, False))


class StopTest(unittest.TestCase):
    """A host that stops."""

    def test_host_exits_once_callers_have_read_their_answers(self):
        # It exited while callers were still reading slowly.
        driver = support.Driver(UPLOAD, grace_s=8.0)
        driver.feed(events.StopAsked())
        driver.feed(memory_events.MemoryMeasured(LIMIT, RESIDENT, 9, 9))

        def exits(after_s):
            return [effect for effect in driver.feed(events.Ticked(), after_s)
                    if type(effect) is effects.Exit]

        self.assertEqual([], exits(5.0))
        driver.feed(memory_events.MemoryMeasured(LIMIT, RESIDENT, 0, 0))
        self.assertEqual([effects.Exit()], exits(0.3))


if __name__ == "__main__":
    unittest.main()
