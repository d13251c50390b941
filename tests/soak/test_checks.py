"""Tests of the checks of the soak test."""

import socket
import unittest
import unittest.mock

from tools.soak import callers
from tools.soak import checks
from tools.soak import fleet as fleets
from tools.soak import record as records
from tools.soak import run
from twisted.internet import task

FULL_STREAM = b"".join(b"id: %d\ndata: r1\n\n" % n for n in range(1, 13))
IP = "127.1.1.1"
CLOUD = "127.0.0.1:9"


def _sent(kind, reply, rid="r1", at=100.0, version=1, settled=1,
          body=b"body"):
    request = callers.Request(rid, kind, f"/{kind}/1", (), body)
    return records.SentRequest(
        request, IP, 1, at, version, settled, at + 1, reply)


def _check(sent, runs=(), change=lambda record: None):
    record = records.new_record()
    record.runs["r1"] = list(runs)
    change(record)
    return checks.check_request(sent, record)


class RequestCheckTest(unittest.TestCase):
    """Each guarantee on a single request, violated and kept."""

    def test_violations(self):
        rows = (
            ("response of another request", "safe", 200, b"answer to r2",
             ["s"]),
            ("incomplete stream", "top", 200, FULL_STREAM[:60], ["s"]),
            ("duplicate event", "low", 200,
             b"id: 1\ndata: r1\n\n" + FULL_STREAM, ["s"]),
            ("reported not run, but ran", "unsafe", 503, b"", ["s"]),
            ("no Retry-After", "unsafe", 503, b"", []),
            ("ran twice", "unsafe", 502, b"", ["s", "t"]),
            ("ran on too many servers", "safe", 200, b"answer to r1",
             ["s", "t", "u"]),
            ("no response at an undisturbed host", "safe", 0, b"", ["s"]),
            ("read but not answered", "safe", 0, b"", []),
            ("route in force is not found", "v1", 404, b"", []),
        )
        for name, kind, status, body, runs in rows:
            with self.subTest(name):
                reply = callers.Reply(status, body)
                self.assertNotEqual([], _check(_sent(kind, reply), runs))

    def test_server_that_ended_during_a_request_is_not_counted(self):
        # The second of three servers had left and ended during a stream.
        sent = _sent("safe", callers.Reply(200, b"answer to r1"))
        for ended_at, allowed in ((sent.at - 1, False), (sent.at + 0.5, True),
                                  (sent.ended_at + 1, False)):
            errors = _check(sent, ["s", "t", "u"], lambda record: (
                record.ended.update(t=ended_at)))
            self.assertEqual(allowed, errors == [])

    def test_removed_route_that_serves(self):
        reply = callers.Reply(200, b"answer to r1")
        sent = _sent("v1", reply, version=4, settled=4)
        self.assertNotEqual([], _check(sent, ["s"]))
        sent = _sent("v1", reply, version=4, settled=2)
        self.assertEqual([], _check(sent, ["s"]))

    def test_route_removed_during_its_request(self):
        # The host had already applied the version without the route.
        for ended_version, allowed in ((0, False), (2, False), (3, True)):
            sent = _sent("v1", callers.Reply(404), version=2, settled=1)
            sent.ended_version = ended_version
            with self.subTest(ended_version=ended_version):
                self.assertEqual(allowed, _check(sent) == [])

    def test_work_for_a_disconnected_caller(self):
        sent = _sent("safe", callers.Reply(abandoned=True))

        def works(record):
            record.working.add(("r1", "s"))

        self.assertNotEqual([], _check(sent, ["s"], works))
        self.assertEqual([], _check(sent, ["s"]))

    def test_no_violations(self):
        rows = (
            ("top", 200, FULL_STREAM, ["s", "t"]),
            ("safe", 200, b"answer to r1", ["s", "t"]),
            ("unsafe", 200, b"answer to r1", ["s"]),
            ("unsafe", 502, b"", ["s"]), ("unsafe", 503, b"", []),
            ("v3", 404, b"", []))
        for kind, status, body, runs in rows:
            reply = callers.Reply(status, body, retry_after_s=0.5)
            self.assertEqual([], _check(_sent(kind, reply), runs))

    def test_missing_response_is_excused_by_a_fault_at_its_host(self):
        sent = _sent("safe", callers.Reply())

        def kills(record):
            record.add_fault(IP, "kill", 99.0, 1.0)

        def elsewhere(record):
            record.add_fault("127.1.1.2", "kill", 99.0, 1.0)

        def stops(record):
            record.add_fault("plan", "planned stop", 99.0, 8.0)

        def breaks(record):
            record.failed_by_server.add("r1")

        self.assertEqual([], _check(sent, ["s"], kills))
        self.assertEqual([], _check(sent, ["s"], breaks))
        self.assertNotEqual([], _check(sent, ["s"], elsewhere))
        self.assertNotEqual([], _check(sent, ["s"], stops))

    def test_server_that_was_cut_off_is_not_counted(self):
        sent = _sent("safe", callers.Reply(200, b"answer to r1"))

        def cut(record):
            record.add_fault("t", "cut", 100.2, 2.0)

        self.assertEqual([], _check(sent, ["s", "t", "u"], cut))
        self.assertNotEqual([], _check(sent, ["s", "v", "u"], cut))

    def test_stream_that_reached_its_deadline_is_no_violation(self):
        sent = _sent("top", callers.Reply())
        sent.ended_at = sent.at + 3.97
        self.assertEqual([], _check(sent, ["s"]))
        sent.ended_at = sent.at + 3.0
        self.assertNotEqual([], _check(sent, ["s"]))


class RunCheckTest(unittest.TestCase):
    """Guarantees over many requests."""

    def _check_shares(self, shares):
        record = records.new_record()
        for kind, share in shares.items():
            for number in range(100):
                rid = f"{kind}-{number}"
                status = 200 if number < share * 100 else 503
                record.sent[rid] = _sent(kind, callers.Reply(status), rid)
        return checks.check_run(record)

    def test_starvation_and_tiers(self):
        self.assertEqual([], self._check_shares(
            {"top": 0.95, "low": 0.9, "safe": 1.0, "unsafe": 1.0}))
        self.assertNotEqual([], self._check_shares(
            {"top": 0.95, "low": 0.1, "safe": 1.0, "unsafe": 1.0}))
        self.assertNotEqual([], self._check_shares(
            {"top": 0.7, "low": 0.9, "safe": 1.0, "unsafe": 1.0}))

    def test_request_to_a_server_that_left(self):
        record = records.new_record()
        record.departed["s"] = 90.0
        record.sent["r1"] = _sent("safe", callers.Reply(200))
        record.arrivals.append(("r1", "s", 92.0))
        self.assertEqual([], checks.check_run(record))
        record.arrivals.append(("r1", "s", 94.0))
        self.assertNotEqual([], checks.check_run(record))

    def test_restored_copy_does_not_excuse_a_request_to_a_server_that_left(
            self):
        for name, began_at, allowed in (
                (checks.RESTORED, 90.5, True), (checks.RESTORED, 91.5, False),
                ("store outage", 91.5, True)):
            record = records.new_record()
            record.departed["s"] = 90.0
            record.sent["r1"] = _sent("safe", callers.Reply(200))
            record.arrivals.append(("r1", "s", 94.0))
            record.add_fault("store", name, began_at, 1.0)
            self.assertEqual(allowed, checks.check_run(record) == [])

    def _check_limited(self, count, change=lambda record: None):
        """Return the violations for so many requests within 3 s."""
        record = records.new_record()
        record.limits["s"] = 100.0, 110.0, 1.0
        record.rate_sent["s", IP] = 100.0
        for number in range(count):
            rid = f"r{number}"
            record.sent[rid] = _sent("safe", callers.Reply(200), rid)
            record.reached.append((rid, "s", 102.0 + 3 * number / count))
        change(record)
        return checks.check_run(record)

    def test_server_gets_more_than_its_rate_limit(self):
        self.assertEqual([], self._check_limited(11))
        self.assertNotEqual([], self._check_limited(12))

    def test_uninformed_or_disturbed_host_may_exceed_the_rate_limit(self):
        def not_told(record):
            record.rate_sent.clear()

        def killed(record):
            record.add_fault(IP, "kill", 101.0, 1.0)

        def other_killed(record):
            record.add_fault("127.1.1.2", "kill", 101.0, 1.0)

        def lifted(record):
            record.limits["s"] = 100.0, 102.5, 1.0

        for change in (not_told, killed, lifted):
            self.assertEqual([], self._check_limited(12, change))
        self.assertNotEqual([], self._check_limited(12, other_killed))

    def test_request_to_a_server_that_announced_leaving(self):
        for at, ip, allowed in ((101.9, IP, True), (102.1, IP, False),
                                (102.1, "127.1.1.2", True)):
            record = records.new_record()
            record.leaving_sent["s", IP] = 100.0
            record.sent["r1"] = _sent("safe", callers.Reply(200), at=at)
            record.sent["r1"].ip = ip
            record.reached.append(("r1", "s", at + 0.1))
            with self.subTest(at=at, ip=ip):
                self.assertEqual(allowed, checks.check_run(record) == [])
            record.add_fault(ip, "pause", 101.0, 0.8)
            self.assertEqual([], checks.check_run(record))

    def test_restarted_server_is_no_longer_leaving(self):
        for restarted_at, allowed in ((99.0, False), (101.0, True),
                                      (103.0, False)):
            record = records.new_record()
            record.leaving_sent["s", IP] = 100.0
            record.restarted["s"] = restarted_at
            record.sent["r1"] = _sent("safe", callers.Reply(200), at=102.1)
            record.reached.append(("r1", "s", 102.2))
            with self.subTest(restarted_at=restarted_at):
                self.assertEqual(allowed, checks.check_run(record) == [])

    def test_requests_during_a_backoff(self):
        for count, backoff_s, allowed in ((2, 3.0, True), (3, 3.0, False),
                                          (3, 1.0, True)):
            record = records.new_record()
            record.backoffs.append(("s", IP, 100.0, backoff_s))
            for number in range(count):
                rid = f"r{number}"
                record.sent[rid] = _sent("safe", callers.Reply(200), rid)
                record.reached.append((rid, "s", 101.5 + number / 10))
            with self.subTest(count=count, backoff_s=backoff_s):
                self.assertEqual(allowed, checks.check_run(record) == [])
            record.add_fault("s", "server restart", 101.0, 1.0)
            self.assertEqual([], checks.check_run(record))

    def test_host_returns_to_an_older_version(self):
        record = records.new_record()
        record.sent["r1"] = _sent("v3", callers.Reply(200), "r1", 100.0, 3)
        record.sent["r2"] = _sent("v3", callers.Reply(404), "r2", 102.0, 4)
        record.sent["r3"] = _sent("safe", callers.Reply(200), "r3")
        self.assertEqual(
            [f"r2: {IP} returned to a version older than 3"],
            checks.check_run(record))
        record.sent["r2"].ended_version = 5
        self.assertEqual([], checks.check_run(record))

    def test_request_crashes_more_than_three_servers(self):
        record = records.new_record()
        record.sent["r1"] = _sent("safe", callers.Reply(200))
        record.crashes = [(b"poison", 100.0 + n / 10) for n in range(5)]
        self.assertEqual([], checks.check_run(record))
        record.crashes.append((b"poison", 102.0))
        self.assertNotEqual([], checks.check_run(record))

    def test_identical_request_is_quarantined_after_it_was_served(self):
        quarantined = callers.Reply(503, b'{"error": "quarantined"}', 60.0)
        for served_at, excused, errors in (
                (99.5, False, 1), (101.5, False, 0), (99.5, True, 0)):
            record = records.new_record()
            for rid, reply, at in (
                    ("r1", callers.Reply(200), served_at),
                    ("r2", quarantined, 102.0)):
                record.sent[rid] = _sent(
                    "safe", reply, rid, at, body=checks.IDENTICAL)
            if excused:
                record.add_fault(IP, "kill", 101.5, 1.0)
            with self.subTest(served_at=served_at, excused=excused):
                self.assertEqual(errors, len(checks.check_run(record)))

    def test_no_recovery(self):
        good, bad = callers.Reply(200), callers.Reply(503)
        self.assertEqual([], checks.check_recovery([good] * 9 + [bad]))
        self.assertNotEqual([], checks.check_recovery([good] * 5 + [bad] * 5))


class ServersTest(unittest.TestCase):
    """Stopping servers."""

    def test_server_that_left_may_crash_before_its_end(self):
        # Stopping a server that had crashed in between raised an error, and
        # the calls due at the same time were not made.
        clock = task.Clock()
        clock.listenTCP = unittest.mock.Mock()
        soak = run.Soak(clock, 5, "/tmp", 1)
        soak._register = unittest.mock.Mock()
        soak.add_engine("engines")
        (sid,) = soak.engines
        soak.leave(sid)
        soak.crash(sid)
        soak.end_departed(sid)
        self.assertEqual({}, soak.engines)


class FleetTest(unittest.TestCase):
    """Processes and addresses of the hosts."""

    def test_concurrent_restarts_start_one_process(self):
        # A host was killed while its planned restart was pending. Both
        # started it, and the run stopped only one of the processes.
        fleet = fleets.Fleet("/tmp", "127.9", 1, CLOUD)
        scheduled, started = [], []
        fleet.start = started.append
        fleet.processes[0] = unittest.mock.Mock(
            **{"poll.side_effect": [None, None, 0, 0]})
        for _ in range(2):
            fleet.restart(0, lambda span, *call: scheduled.append(call))
        while scheduled:
            function, *args = scheduled.pop(0)
            function(*args)
        self.assertEqual([0], started)

    def test_hosts_of_another_run_are_detected(self):
        # A killed run left its hosts behind; the next run with its seed sent
        # requests to those, and two thirds of them failed.
        fleet = fleets.Fleet("/tmp", "127.9", 2, CLOUD)
        self.assertEqual([], fleet.addresses_in_use())
        with socket.socket() as sock:
            sock.bind(("127.9.1.2", fleets.PORTS["Front"]))
            sock.listen()
            self.assertEqual(["127.9.1.2:18080"], fleet.addresses_in_use())
