"""Headers of callers and of backend servers."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import model
from crocuskeel.gateway import header_codec
from crocuskeel.platform import headers
from tests.entry import support

FORGED = (
    (b"Authorization", b"Bearer secret"),
    (b"X-Crocuskeel-Tenant", b"forged"),
    (b"x-crocuskeel-hold", b"forged"),
    (b"X-Crocuskeel-Req-Priority", b"forged"),
    (b"X-Crocuskeel-Expect-Instance", b"forged"),
    (b"X-Crocuskeel-Expect-Version", b"forged"),
    (b"X-Crocuskeel-Pin-Ms", b"forged"),
    (b"X-Crocuskeel-Kv-Backup", b"forged"),
    (b"Kv-From", b"forged"), (b"Kv-Fetch", b"forged"),
    (b"Connection", b"close, X-Mine"), (b"X-Mine", b"forged"),
    (b"Transfer-Encoding", b"chunked"), (b"Content-Length", b"9"),
)
SENT = (
    (b"Host", b"Desk.example:80"),
    (b"X-Crocuskeel-Request-Id", b"9c41"),
    (b"X-Crocuskeel-Deadline-Ms", b"8000"),
    (b"X-Crocuskeel-Token-Count", b"1460,80"),
    (b"X-Crocuskeel-Prefix-Hash", b"5c1e:800,91bd:660"),
    (b"Last-Event-Id", b"4"),
)


def _server_headers(last_event_id=None, resume=False):
    send = effects.SendRequest(1, 0, support.server("i-1"), 1.5, 12, "hire",
                               True, resume)
    head = header_codec.Head(SENT + FORGED, b"POST", b"/a/1")
    return dict(headers.new_header_codec().server_headers(
        head, send, last_event_id))


class HeadersTest(unittest.TestCase):
    """Decoding and writing of headers."""

    def setUp(self):
        self.codec = headers.new_header_codec()

    def _classify(self, *rows, status=200):
        request = model.Request("9c41", "POST", "h", "/")
        return self.codec.classify(
            request, header_codec.Head(rows, status=status)).value

    def test_rate_limit_header(self):
        rows = ((b"1.3", 1.3), (b"0", 0.0), (None, None), (b"", None),
                (b"few", None), (b"-1", None), (b"nan", None),
                (b"inf", None))
        for value, expected in rows:
            with self.subTest(value):
                head = header_codec.Head(
                    ((b"Server-Limit", value),) if value is not None else ())
                self.assertEqual(
                    expected, self.codec.hints(head).rate_limit)

    def test_leaving_and_retry_after_headers(self):
        rows = (
            (200, (), (False, None)),
            (200, ((b"Server-Leaving", b"1"),), (True, None)),
            (200, ((b"Server-Leaving", b"0"),), (False, None)),
            (503, ((b"Server-Leaving", b" 1"), (b"Retry-After", b"3")),
             (True, 3.0)),
            (503, ((b"Retry-After", b"0.25"),), (False, 0.25)),
            (503, ((b"Retry-After", b"Thu, 01 Jan 2026 00:00:00 GMT"),),
             (False, None)),
            # Not a refusal: the header is meant for the caller.
            (200, ((b"Retry-After", b"3"),), (False, None)),
        )
        for status, sent, expected in rows:
            with self.subTest(sent=sent, status=status):
                found = self.codec.hints(
                    header_codec.Head(sent, status=status))
                self.assertEqual(expected, (found.leaving, found.backoff_s))

    def test_brittle_header(self):
        for sent, expected in ((((b"Server-Brittle", b"4"),), True),
                               (((b"server-brittle", b""),), True),
                               ((), False)):
            found = self.codec.hints(header_codec.Head(sent, status=200))
            self.assertEqual(expected, found.brittle)

    def test_load_header(self):
        # The header of engines that add a fourth figure was treated as
        # invalid, and their load was never known. A superscript digit, which
        # str.isdigit accepts, raised an error.
        rows = ((b"3,1,64", (3, 1, 64, 100)), (b"3, 1, 64, 250",
                                               (3, 1, 64, 250)),
                (b"0,0,64,40", (0, 0, 64, 40)), (b"3,1", None),
                (b"3,1,64,0", None), (b"3,1,64,-5", None),
                (b"3,1,64,", None), (b"3,1,64,slow", None),
                (b"3,1,64,1.5", None), (b"3,1,\xb2", None),
                (b"3,1,64,100,7", None), (b"", None), (None, None))
        for value, expected in rows:
            with self.subTest(value):
                head = header_codec.Head(
                    ((b"X-Crocuskeel-Server-Load", value),)
                    if value is not None else ())
                self.assertEqual(expected, self.codec.load(head))

    def test_kv_fetch_header_of_a_caller_is_replaced(self):
        # A caller that names an engine could read another caller's cached
        # data.
        send = effects.SendRequest(1, 0, support.server("i-1"), 1.5, 0, "hire",
                                   True, fetch_from=("10.0.0.9", 8080))
        head = header_codec.Head(SENT + FORGED, b"POST", b"/a/1")
        rows = self.codec.server_headers(head, send, None)
        self.assertEqual([b"10.0.0.9:8080"], [
            value for name, value in rows if name.lower() == b"kv-fetch"])
        self.assertNotIn(b"Kv-Fetch", _server_headers())

    def test_request_of_a_caller(self):
        head = header_codec.Head(SENT + FORGED, b"POST", b"/a/1?x=1")
        found = self.codec.read_request(head, b"body")
        self.assertEqual(("9c41", "desk.example", "/a/1?x=1", "secret"),
                         (found.rid, found.host, found.path,
                          found.api_key))
        self.assertEqual(8.0, found.deadline_s)
        self.assertEqual((("5c1e", 800), ("91bd", 660)),
                         found.prompt.parts)

    def test_stream_that_a_caller_takes_up_again(self):
        rows = ((SENT, ("4", "")),
                ((*SENT, (b"Resumes", b"77fe")), ("4", "77fe")),
                (((b"Resumes", b""), ), ("", "")))
        for sent, expected in rows:
            with self.subTest(sent):
                head = header_codec.Head(sent, b"POST", b"/a/1")
                found = self.codec.read_request(head, b"")
                self.assertEqual(
                    expected, (found.last_event_id, found.resumes))

    def test_two_names_of_the_stream_that_is_taken_up(self):
        rows = ((((b"Resumes", b"1"), (b"resumes", b" 1 ")), "1"),
                (((b"Resumes", b"1"), (b"resumes", b"2")), None),
                (((b"Resumes", b"x" * 9_000), ), "x" * 9_000))
        for sent, expected in rows:
            head = header_codec.Head((*SENT, *sent), b"POST", b"/a/1")
            with self.subTest(expected):
                if expected is None:
                    with self.assertRaises(ValueError):
                        self.codec.read_request(head, b"")
                    continue
                self.assertEqual(
                    expected, self.codec.read_request(head, b"").resumes)

    def test_origin_of_a_relayed_stream(self):
        # Names are any text, and a caller can't choose a version by itself.
        for origin in (None, model.Origin("engines", "v1.1"),
                       model.Origin("a/b", "1\r\nX: y/\u20ac %")):
            send = effects.SendRequest(
                1, 0, support.server("h2"), 1.5, 0, "hire", True,
                relay_servers=1, relay_origin=origin)
            head = header_codec.Head(
                (*SENT, (b"X-Crocuskeel-Relay-Origin", b"a/forged"),
                 (b"Resumes", b"77fe")), b"POST", b"/a/1")
            self.assertIsNone(
                self.codec.read_request(head, b"").relay_origin)
            rows = tuple(self.codec.server_headers(head, send, 7))
            for _, value in rows:
                self.assertNotIn(b"\n", value)
            found = self.codec.read_request(
                header_codec.Head(rows, b"POST", b"/a/1"), b"")
            self.assertEqual((origin, "4", "77fe"), (
                found.relay_origin, found.last_event_id, found.resumes))
            self.assertNotIn(b"X-Crocuskeel-Relay-Origin", dict(
                self.codec.server_headers(head, effects.SendRequest(
                    1, 0, support.server("i-1"), 1.5, 0, "hire", True),
                    None)))

    def test_long_names_of_parts_are_replaced_by_digests(self):
        # Each was remembered for each engine, and told to other hosts.
        head = header_codec.Head((
            (b"X-Crocuskeel-Token-Count", b"900,80"),
            (b"X-Crocuskeel-Prefix-Hash", b"5c1e:400,%s:300,%s:200" % (
                b"a" * 8000, b"a" * 7999 + b"b"))), b"POST", b"/a/1")
        parts = self.codec.read_request(head, b"").prompt.parts
        self.assertEqual(("5c1e", 400), parts[0])
        self.assertEqual([32, 32], [len(name) for name, _ in parts[1:]])
        self.assertNotEqual(parts[1][0], parts[2][0])

    def test_reserved_headers_of_a_caller_are_dropped(self):
        # A caller that sets its own priority, or another caller's cache,
        # would be served first, or from the prompts of others.
        found = _server_headers()
        self.assertNotIn(b"forged", found.values())
        self.assertNotIn(b"Authorization", found)
        self.assertNotIn(b"Content-Length", found)
        self.assertEqual(b"hire", found[b"X-Crocuskeel-Tenant"])
        self.assertEqual(b"i-1", found[b"X-Crocuskeel-Expect-Instance"])
        self.assertEqual(b"1500", found[b"X-Crocuskeel-Deadline-Ms"])
        self.assertEqual(b"9", found[b"X-Crocuskeel-Req-Priority"])

    def test_resumed_stream_sends_the_last_event_id(self):
        self.assertEqual(b"4", _server_headers()[b"Last-Event-Id"])
        found = _server_headers(last_event_id=7, resume=True)
        self.assertEqual(b"7", found[b"Last-Event-Id"])

    def test_verdicts(self):
        rid = (b"X-Crocuskeel-Request-Id", b"9c41")
        other = (b"X-Crocuskeel-Request-Id", b"ffff")
        stamp = (b"X-Crocuskeel-Server-Stamp", b"3e1b")
        not_run = (b"X-Crocuskeel-Not-Run", b"1")
        compressed = (b"Content-Encoding", b"gzip")
        for rows, status, expected in (
                ((rid, stamp), 200, "answer"),
                ((rid,), 200, "garbled"), ((stamp,), 200, "garbled"),
                ((other, stamp), 200, "foreign"),
                ((rid, stamp, compressed), 200, "garbled"),
                ((rid, stamp), 500, "answer"), ((rid,), 503, "answer"),
                ((not_run,), 503, "not_run"),
                ((not_run,), 400, "not_run"), ((), 421, "misdirected")):
            with self.subTest(rows=rows, status=status):
                self.assertEqual(expected,
                                 self._classify(*rows, status=status))

    def _relay_headers(self, **kwargs):
        send = effects.SendRequest(
            1, 0, support.server("h1"), 1.5, 0, "hire", True,
            relay_servers=2, **kwargs)
        head = header_codec.Head(
            (*SENT, (b"Authorization", b"Bearer key-1"),
             (b"X-Crocuskeel-Relay-Servers", b"9"),
             (b"Connection", b"close")), b"POST", b"/a/1")
        return dict(self.codec.server_headers(head, send, 7))

    def test_relayed_request_is_the_callers_own(self):
        # Another host checks its key and adds what servers expect.
        found = self._relay_headers()
        self.assertEqual(
            {**dict(SENT), b"Authorization": b"Bearer key-1",
             b"X-Crocuskeel-Deadline-Ms": b"1500",
             b"X-Crocuskeel-Relay-Servers": b"2"}, found)
        self.assertEqual(
            b"7", self._relay_headers(resume=True)[b"Last-Event-Id"])

    def test_relayed_request_is_told_from_a_callers(self):
        for value, expected in ((b"2", 2), (b"0", 1), (b"many", None),
                                (b"-1", None), (b"", None)):
            head = header_codec.Head(
                (*SENT, (b"X-Crocuskeel-Relay-Servers", value)),
                b"POST", b"/a/1")
            with self.subTest(value):
                request = self.codec.read_request(head, b"")
                self.assertEqual(expected, request.max_servers)
        # Servers don't get it.
        send = effects.SendRequest(
            1, 0, support.server("i-1"), 1.5, 0, "hire", False)
        self.assertNotIn(b"X-Crocuskeel-Relay-Servers", dict(
            self.codec.server_headers(head, send, None)))

    def test_verdicts_on_relayed_answers(self):
        rid = (b"X-Crocuskeel-Request-Id", b"9c41")
        other = (b"X-Crocuskeel-Request-Id", b"ffff")
        stamp = (b"X-Crocuskeel-Server-Stamp", b"3e1b")
        request = model.Request("9c41", "POST", "h", "/")
        for rows, status, expected in (
                ((rid, stamp), 200, "answer"), ((rid, stamp), 503, "answer"),
                ((rid,), 404, "answer"), ((other, stamp), 200, "foreign"),
                ((), 200, "garbled"), ((), 503, "not_run"),
                ((), 404, "not_run"), ((), 408, "not_run"),
                ((), 502, "answer"), ((), 504, "answer")):
            with self.subTest(rows=rows, status=status):
                self.assertEqual(expected, self.codec.classify_relayed(
                    request, header_codec.Head(rows, status=status)).value)

    def test_misdirected_request_is_no_answer_of_its_server(self):
        # It counted as a refusal by the server before, which proved that
        # that one was running: a crash was taken back on all hosts.
        for rows in ((), ((b"X-Crocuskeel-Not-Run", b"1"),),
                     ((b"X-Crocuskeel-Request-Id", b"9c41"),
                      (b"X-Crocuskeel-Not-Run", b"misdirected"))):
            with self.subTest(rows):
                self.assertEqual("misdirected",
                                 self._classify(*rows, status=421))

    def test_invalid_deadline_is_rejected(self):
        head = header_codec.Head(((b"X-Crocuskeel-Deadline-Ms", b"soon"),),
                                 b"GET", b"/")
        with self.assertRaises(ValueError):
            self.codec.read_request(head, b"")

    def test_digest_identifies_repeated_requests(self):
        head = header_codec.Head(SENT + FORGED, b"POST", b"/a/1")
        again = header_codec.Head(
            ((b"X-Crocuskeel-Request-Id", b"other"), *SENT, *FORGED),
            b"POST", b"/a/1")
        read = self.codec.read_request
        self.assertEqual(read(head, b"x").digest, read(again, b"x").digest)
        self.assertNotEqual(read(head, b"x").digest,
                            read(head, b"y").digest)
        # A caller may use another key of its workspace each time.
        other_key = header_codec.Head(
            ((b"Authorization", b"Bearer other"), *(
                row for row in SENT if row[0] != b"Authorization"), *FORGED),
            b"POST", b"/a/1")
        self.assertEqual(read(head, b"x").digest,
                         read(other_key, b"x").digest)
