"""Guards against live servers that are taken for gone, and the reverse.

A server that crashed is back at its address under another id while its former
entry is still listed.
"""

import dataclasses
import itertools
import unittest

from crocuskeel.core.entry import crash_records
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core import revisions
from tests.entry import support

ADDRESS = ("10.0.0.1", 99)
ROUTES = (support.route(), support.route(
    "notes", split=(("engines", 1),), public=True))
RESTORED = revisions.combine(1, 40)


def _server(sid, created=None, **kwargs):
    return support.server(sid, address=ADDRESS, created=created, **kwargs)


FORMER, LATER = _server("i-7f", 10), _server("i-02", 60)


class AddressOwnersTest(unittest.TestCase):
    """Which of the servers with one address gets requests."""

    def setUp(self):
        self.driver = support.Driver(*ROUTES)
        self.host = self.driver.host

    def _used(self):
        return sorted(sid for sid, state in self.host.servers.items()
                      if not state.address_reused)

    def _list(self, *servers, revision=70, **kwargs):
        return self.driver.feed(
            events.ServersListed(servers, revision, **kwargs))

    def test_host_that_starts_uses_the_server_that_came_back(self):
        # All hosts were killed after the crash. They read both entries at
        # once, the live one first, and never used it again.
        for servers in itertools.permutations((FORMER, LATER)):
            with self.subTest([server.sid for server in servers]):
                self.setUp()
                self._list(*servers)
                self.assertEqual(["i-02"], self._used())
                (order, ) = support.effects_of(
                    self.driver.arrive(), effects.SendRequest)
                self.assertEqual("i-02", order.server.sid)
                self.driver.feed(events.ServersChanged((), ("i-7f",), 71))
                self.assertEqual(["i-02"], self._used())

    def test_the_last_of_several_processes_at_an_address_is_used(self):
        third = _server("i-5a", 65)
        for servers in itertools.permutations((FORMER, LATER, third)):
            self.setUp()
            self._list(*servers)
            self.assertEqual(["i-5a"], self._used())

    def test_address_of_another_service_gets_no_request_of_the_first(self):
        later = _server("i-02", 60, service="engines")
        for servers in itertools.permutations((FORMER, later)):
            self.setUp()
            self._list(*servers)
            out = self.driver.arrive()
            self.assertEqual([], support.effects_of(out, effects.SendRequest))
            (answer, ) = support.effects_of(out, effects.Answer)
            self.assertEqual(503, answer.status)

    def test_services_that_are_configured_later_own_their_addresses(self):
        later = _server("i-02", 60, service="engines")
        driver = self.driver = support.Driver()
        self.host = driver.host
        self._list(later, FORMER)
        self.assertEqual(["i-02", "i-7f"], self._used())
        driver.feed(events.CatalogRead(support.catalog(*ROUTES)))
        self.assertEqual(["i-02"], self._used())

    def test_entries_of_services_that_are_not_configured_own_none(self):
        self._list(FORMER, _server("i-02", 60, service="foreign"))
        self.assertIn("i-7f", self._used())

    def test_neither_is_gone_if_the_store_does_not_tell_the_order(self):
        self._list(_server("i-02"), _server("i-7f", 10))
        self.assertEqual(["i-02", "i-7f"], self._used())

    def test_a_server_that_comes_later_is_told_by_its_arrival(self):
        self._list(_server("i-7f"))
        self.driver.feed(events.ServersChanged((_server("i-02"),), (), 71))
        self.assertEqual(["i-02"], self._used())

    def test_an_older_entry_that_arrives_late_takes_no_address(self):
        self._list(LATER)
        self.driver.feed(events.ServersChanged((FORMER,), (), 71))
        self.assertEqual(["i-02"], self._used())

    def test_a_server_that_started_again_under_its_id_is_not_gone(self):
        # Its entry is the older one, as it was created by its first process.
        again = _server("i-7f", 10, started_ms=9000)
        self._list(again, _server("i-02", 60, started_ms=8000))
        self.assertIn("i-7f", self._used())

    def test_numbers_of_a_restored_store_are_not_compared_with_former_ones(
            self):
        self._list(_server("i-02", 900))
        new = _server("i-5a", 41)
        self._list(new, revision=RESTORED + 2)
        self.assertIn("i-5a", self._used())
        self.driver.feed(events.ServersChanged(
            (dataclasses.replace(LATER, created=42),), (), RESTORED + 3))
        self.assertEqual(["i-02"], self._used())

    def test_the_one_that_came_back_is_not_recorded_as_down(self):
        # Its crash would be charged to the requests that it runs.
        out = self._list(LATER, FORMER)
        self.assertEqual(
            {FORMER.incarnation}, {
                incarnation for incarnation, (sign, _)
                in self.host.crash_records.ended.items()
                if sign is crash_records.Sign.REPLACED})
        (line, ) = [effect.fields for effect
                    in support.effects_of(out, effects.LogEvent)
                    if effect.event == "server_replaced"]
        self.assertEqual(("i-7f", "i-02"), (line["server"], line["by"]))


if __name__ == "__main__":
    unittest.main()
