"""Tests of the entry host's interfaces, from the fault tables."""

import unittest

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import membership
from tests.frontend import driver
from tests.frontend import fault_table
from tests.frontend import key_fault_table


class FaultTableTest(unittest.TestCase):
    """Each row describes the failure that it guards against."""

    maxDiff = None

    def _run(self, table):
        for row in table:
            with self.subTest(row.name):
                host = driver.Host(row.max_requests)
                rid = host.arrive(**row.request)
                for step in row.steps:
                    step(host, rid)
                self.assertEqual(
                    row.expect.split(", "), host.labels(), row.failure)

    def test_caller_faults(self):
        self._run(fault_table.CALLER)

    def test_engine_faults(self):
        self._run(fault_table.ENGINE)

    def test_peer_faults(self):
        self._run(fault_table.PEER)

    def test_key_faults(self):
        self._run(key_fault_table.KEYS)


class FirstByteTimeoutTest(unittest.TestCase):

    def test_first_byte_timeout_is_a_small_multiple_of_the_target(self):
        """A request on dead connections takes 40 s to fail.

        Each of up to four attempts waits for a first byte that never
        arrives.
        """
        host = driver.Host()
        rid = host.arrive()
        host.grant(rid)
        attempt = next(effect for effect in host.log
                       if isinstance(effect, effects.OpenAttempt))
        target = host.request(rid).policy.target_ttft_s
        self.assertEqual(1.0, target)
        self.assertLessEqual(attempt.first_byte_s, 4.0 * target)


class DrainTest(unittest.TestCase):

    def test_drain_completes_requests_in_progress(self):
        """A shutdown for maintenance cuts off a booking in progress.

        The host is told to drain while one request waits and one runs.
        New callers are redirected and both requests complete. Only then,
        and after callers had time to locate again, does it exit.
        """
        host = driver.Host()
        waiting = host.arrive()
        running = host.arrive(**fault_table.BOOK)
        host.grant(running, "d1")
        host.claim(running)
        membership.handle(host.daemon, events.DrainAsked(), host.now)
        host.feed(events.DrainAsked())
        refused = host.feed(events.RequestArrived(
            "h1.1.9", driver.token("north"), "POST", "/", "ramp", "",
            False, 1, 0, 0, "d", "f"))[0]
        self.assertEqual("127.0.0.1:2", refused.location)
        host.advance(5.0)
        host.grant(waiting)
        host.closed(waiting, "done")
        host.advance(1.0)
        self.assertNotIn(effects.Exit(), host.log)
        host.closed(running, "done")
        host.advance(1.0)
        self.assertEqual(1, host.log.count(effects.Exit()))
        self.assertNotIn("cancel", host.labels())
