"""The soak's checks of streams of two software versions."""

import unittest

from tools.soak import callers
from tools.soak import checks
from tools.soak import record as records
from tools.soak import version_checks

KINDS = checks.STREAMS


def _body(rid, version, first=1, last=12):
    return b"".join(b"id: %d\n: %s\ndata: %s\n\n" % (number, version, rid)
                    for number in range(first, last + 1))


class VersionChecksTest(unittest.TestCase):
    """Each check is broken on purpose."""

    def setUp(self):
        self.record = records.new_record()

    def _send(self, rid, body, resumes="", at=100.0, servers=2, **kwargs):
        request = callers.Request(rid, "top", "/top/1", (), b"",
                                  resumes=resumes, **kwargs)
        self.record.sent[rid] = records.SentRequest(
            request, "127.1.1.1", 1, at, 1, 1, at + 2.0,
            callers.Reply(body=body), servers_of_version=servers)

    def _check(self):
        return version_checks.check_streams(self.record, KINDS)

    def test_streams_of_two_versions(self):
        for number, allowed in ((2, True), (3, False)):
            for rid in range(number):
                begun = f"r{number}-{rid}"
                self._send(begun, _body(b"r", b"v1", last=4))
                self._send(begun + "b", _body(b"r", b"v2", 5), begun)
            with self.subTest(number):
                self.assertEqual(allowed, self._check() == [])
            self.record.sent.clear()

    def test_two_versions_in_one_response(self):
        for rid in "abc":
            self._send(rid, _body(b"r", b"v1", 1, 4) + _body(b"r", b"v2", 5))
        self.assertNotEqual([], self._check())

    def test_streams_that_are_taken_up_and_refused(self):
        for count, servers, at, allowed in (
                (12, 2, 100.0, False), (11, 2, 100.0, True),
                (12, 1, 100.0, True), (12, 2, 200.0, True)):
            self.record.sent.clear()
            self.record.add_fault("127.1.1.1", "kill", 200.0, 1.0)
            for number in range(count):
                rid = f"r{number}"
                self._send(rid, _body(b"r", b"v1", last=4))
                self._send(rid + "b", b"" if number % 4 else _body(
                    b"r", b"v1", 5), rid, at, servers)
            with self.subTest(count=count, servers=servers, at=at):
                self.assertEqual(allowed, self._check() == [])

    def test_part_that_a_take_up_brings_must_be_complete(self):
        cases = ((_body(b"r2", b"v1", 5), True), (_body(b"r2", b"v1", 4),
                                                  False),
                 (_body(b"r2", b"v1", 6), False), (_body(b"r2", b"v1"), False),
                 (_body(b"r1", b"v1", 5), False))
        for body, allowed in cases:
            self._send("r2", b"", "r1", last_event=4)
            sent = self.record.sent["r2"]
            sent.reply = callers.Reply(200, body)
            with self.subTest(body[:12]):
                self.assertEqual(
                    allowed, checks.check_request(sent, self.record) == [])


if __name__ == "__main__":
    unittest.main()
