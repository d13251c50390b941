"""Contract tests of the door's interfaces, from the fault tables."""

import unittest

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import membership
from tests.door import driver
from tests.door import key_rows
from tests.door import rows


class FaultTables(unittest.TestCase):
    """Each row's story is told by the row itself."""

    maxDiff = None

    def _run(self, table):
        for row in table:
            with self.subTest(row.name):
                host = driver.Host(row.max_requests)
                rid = host.arrive(**row.request)
                for step in row.steps:
                    step(host, rid)
                self.assertEqual(
                    row.expect.split(", "), host.labels(), row.story)

    def test_caller(self):
        self._run(rows.CALLER)

    def test_engine(self):
        self._run(rows.ENGINE)

    def test_peer(self):
        self._run(rows.PEER)

    def test_keys(self):
        self._run(key_rows.KEYS)


class SilentConnection(unittest.TestCase):

    def test_first_byte_is_not_waited_for_long(self):
        """A briefing takes 40 s to be given up on.

        Its connection went silent before the first byte. Each attempt
        waits for that byte, and there are up to four.
        """
        host = driver.Host()
        rid = host.arrive()
        host.grant(rid)
        attempt = next(one for one in host.log
                       if isinstance(one, effects.OpenAttempt))
        target = host.request(rid).policy.target_ttft_s
        self.assertEqual(1.0, target)
        self.assertLessEqual(attempt.first_byte_s, 4.0 * target)


class PlannedStop(unittest.TestCase):

    def test_nothing_is_cut(self):
        """A stop for maintenance cuts off a booking in progress.

        The host is told to stop while one request waits and one runs.
        New callers are sent elsewhere; both end whole; only then, and
        not before callers can have seen the new locate, it exits.
        """
        host = driver.Host()
        waits = host.arrive()
        runs = host.arrive(**rows.BOOK)
        host.grant(runs, "d1")
        host.claim(runs)
        membership.handle(host.daemon, events.DrainAsked(), host.now)
        host.feed(events.DrainAsked())
        refused = host.feed(events.RequestArrived(
            "h1.1.9", driver.token("north"), "POST", "/", "ramp", "",
            False, 1, 0, 0, "d", "f"))[0]
        self.assertEqual("127.0.0.1:2", refused.location)
        host.advance(5.0)
        host.grant(waits)
        host.closed(waits, "done")
        host.advance(1.0)
        self.assertNotIn(effects.Exit(), host.log)
        host.closed(runs, "done")
        host.advance(1.0)
        self.assertEqual(1, host.log.count(effects.Exit()))
        self.assertNotIn("cancel", host.labels())
