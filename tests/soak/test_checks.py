"""The soak's checks catch what they are for."""

import socket
import unittest
import unittest.mock

from tools.soak import asking
from tools.soak import checks
from tools.soak import fleet as fleets
from tools.soak import record as records
from tools.soak import run
from twisted.internet import task

WHOLE = b"".join(b"id: %d\ndata: r1\n\n" % n for n in range(1, 13))
IP = "127.1.1.1"
CLOUD = "127.0.0.1:9"


def _seen(kind, reply, rid="r1", at=100.0, version=1, settled=1):
    asked = asking.Asked(rid, kind, f"/{kind}/1", (), b"body")
    return records.Seen(asked, IP, 1, at, version, settled, at + 1, reply)


def _judge(seen, runs=(), change=lambda record: None):
    record = records.new_record()
    record.runs["r1"] = list(runs)
    change(record)
    return checks.judge(seen, record)


class JudgeTest(unittest.TestCase):
    """Each promise of one request, broken on purpose."""

    def test_broken_promises(self):
        rows = (
            ("another's answer", "safe", 200, b"answer to r2", ["s"]),
            ("half a stream", "top", 200, WHOLE[:60], ["s"]),
            ("an event twice", "low", 200,
             b"id: 1\ndata: r1\n\n" + WHOLE, ["s"]),
            ("not run, and ran", "unsafe", 503, b"", ["s"]),
            ("no time to come back", "unsafe", 503, b"", []),
            ("ran twice", "unsafe", 502, b"", ["s", "t"]),
            ("ran too often", "safe", 200, b"answer to r1",
             ["s", "t", "u"]),
            ("cut off at a calm host", "safe", 0, b"", ["s"]),
            ("read and left without an answer", "safe", 0, b"", []),
            ("a route in force is not there", "v1", 404, b"", []),
        )
        for name, kind, status, body, runs in rows:
            with self.subTest(name):
                reply = asking.Reply(status, body)
                self.assertNotEqual([], _judge(_seen(kind, reply), runs))

    def test_a_server_that_ended_meanwhile_does_not_count(self):
        # One that had left ended under a stream; it is the second of three.
        seen = _seen("safe", asking.Reply(200, b"answer to r1"))
        for ended_at, allowed in ((seen.at - 1, False), (seen.at + 0.5, True),
                                  (seen.ended_at + 1, False)):
            wrong = _judge(seen, ["s", "t", "u"], lambda record: (
                record.ended.update(t=ended_at)))
            self.assertEqual(allowed, wrong == [])

    def test_a_dropped_route_that_serves(self):
        reply = asking.Reply(200, b"answer to r1")
        seen = _seen("v1", reply, version=4, settled=4)
        self.assertNotEqual([], _judge(seen, ["s"]))
        seen = _seen("v1", reply, version=4, settled=2)
        self.assertEqual([], _judge(seen, ["s"]))

    def test_a_route_that_was_dropped_while_its_request_was_on_its_way(self):
        # The host had put the version in force that drops it.
        for ended_version, allowed in ((0, False), (2, False), (3, True)):
            seen = _seen("v1", asking.Reply(404), version=2, settled=1)
            seen.ended_version = ended_version
            with self.subTest(ended_version=ended_version):
                self.assertEqual(allowed, _judge(seen) == [])

    def test_work_for_a_caller_that_left(self):
        seen = _seen("safe", asking.Reply(left=True))

        def works(record):
            record.working.add(("r1", "s"))

        self.assertNotEqual([], _judge(seen, ["s"], works))
        self.assertEqual([], _judge(seen, ["s"]))

    def test_kept_promises(self):
        rows = (
            ("top", 200, WHOLE, ["s", "t"]),
            ("safe", 200, b"answer to r1", ["s", "t"]),
            ("unsafe", 200, b"answer to r1", ["s"]),
            ("unsafe", 502, b"", ["s"]), ("unsafe", 503, b"", []),
            ("v3", 404, b"", []))
        for kind, status, body, runs in rows:
            reply = asking.Reply(status, body, retry_s=0.5)
            self.assertEqual([], _judge(_seen(kind, reply), runs))

    def test_a_cut_is_excused_by_a_fault_where_it_happened(self):
        seen = _seen("safe", asking.Reply())

        def kills(record):
            record.fault(IP, "kill", 99.0, 1.0)

        def elsewhere(record):
            record.fault("127.1.1.2", "kill", 99.0, 1.0)

        def stops(record):
            record.fault("plan", "planned stop", 99.0, 8.0)

        def breaks(record):
            record.spoiled.add("r1")

        self.assertEqual([], _judge(seen, ["s"], kills))
        self.assertEqual([], _judge(seen, ["s"], breaks))
        self.assertNotEqual([], _judge(seen, ["s"], elsewhere))
        self.assertNotEqual([], _judge(seen, ["s"], stops))

    def test_a_server_that_was_cut_off_does_not_count(self):
        seen = _seen("safe", asking.Reply(200, b"answer to r1"))

        def cut(record):
            record.fault("t", "cut", 100.2, 2.0)

        self.assertEqual([], _judge(seen, ["s", "t", "u"], cut))
        self.assertNotEqual([], _judge(seen, ["s", "v", "u"], cut))

    def test_a_stream_that_ran_out_of_time_is_no_cut(self):
        seen = _seen("top", asking.Reply())
        seen.ended_at = seen.at + 3.97
        self.assertEqual([], _judge(seen, ["s"]))
        seen.ended_at = seen.at + 3.0
        self.assertNotEqual([], _judge(seen, ["s"]))


class RunTest(unittest.TestCase):
    """Promises that take many requests to see."""

    def _many(self, shares):
        record = records.new_record()
        for kind, share in shares.items():
            for number in range(100):
                rid = f"{kind}-{number}"
                status = 200 if number < share * 100 else 503
                record.seen[rid] = _seen(kind, asking.Reply(status), rid)
        return checks.judge_run(record)

    def test_starvation_and_tiers(self):
        self.assertEqual([], self._many(
            {"top": 0.95, "low": 0.9, "safe": 1.0, "unsafe": 1.0}))
        self.assertNotEqual([], self._many(
            {"top": 0.95, "low": 0.1, "safe": 1.0, "unsafe": 1.0}))
        self.assertNotEqual([], self._many(
            {"top": 0.7, "low": 0.9, "safe": 1.0, "unsafe": 1.0}))

    def test_a_server_that_left_gets_a_request(self):
        record = records.new_record()
        record.left["s"] = 90.0
        record.seen["r1"] = _seen("safe", asking.Reply(200))
        record.arrivals.append(("r1", "s", 92.0))
        self.assertEqual([], checks.judge_run(record))
        record.arrivals.append(("r1", "s", 94.0))
        self.assertNotEqual([], checks.judge_run(record))

    def _limited(self, count, change=lambda record: None):
        """Return what is wrong with so many requests within 3 s."""
        record = records.new_record()
        record.limits["s"] = 100.0, 110.0, 1.0
        record.told["s", IP] = 100.0
        for number in range(count):
            rid = f"r{number}"
            record.seen[rid] = _seen("safe", asking.Reply(200), rid)
            record.reached.append((rid, "s", 102.0 + 3 * number / count))
        change(record)
        return checks.judge_run(record)

    def test_a_server_gets_more_than_its_rate(self):
        self.assertEqual([], self._limited(11))
        self.assertNotEqual([], self._limited(12))

    def test_who_was_not_told_of_a_rate_or_was_disturbed_is_excused(self):
        def not_told(record):
            record.told.clear()

        def killed(record):
            record.fault(IP, "kill", 101.0, 1.0)

        def other_killed(record):
            record.fault("127.1.1.2", "kill", 101.0, 1.0)

        def lifted(record):
            record.limits["s"] = 100.0, 102.5, 1.0

        for change in (not_told, killed, lifted):
            self.assertEqual([], self._limited(12, change))
        self.assertNotEqual([], self._limited(12, other_killed))

    def test_a_server_that_said_that_it_leaves_gets_a_request(self):
        for at, ip, allowed in ((101.9, IP, True), (102.1, IP, False),
                                (102.1, "127.1.1.2", True)):
            record = records.new_record()
            record.told_leaving["s", IP] = 100.0
            record.seen["r1"] = _seen("safe", asking.Reply(200), at=at)
            record.seen["r1"].ip = ip
            record.reached.append(("r1", "s", at + 0.1))
            with self.subTest(at=at, ip=ip):
                self.assertEqual(allowed, checks.judge_run(record) == [])
            record.fault(ip, "pause", 101.0, 0.8)
            self.assertEqual([], checks.judge_run(record))

    def test_a_server_that_starts_again_does_not_leave(self):
        for restarted_at, allowed in ((99.0, False), (101.0, True),
                                      (103.0, False)):
            record = records.new_record()
            record.told_leaving["s", IP] = 100.0
            record.restarted["s"] = restarted_at
            record.seen["r1"] = _seen("safe", asking.Reply(200), at=102.1)
            record.reached.append(("r1", "s", 102.2))
            with self.subTest(restarted_at=restarted_at):
                self.assertEqual(allowed, checks.judge_run(record) == [])

    def test_a_server_that_asked_for_rest_gets_requests(self):
        for count, rest_s, allowed in ((2, 3.0, True), (3, 3.0, False),
                                       (3, 1.0, True)):
            record = records.new_record()
            record.rests.append(("s", IP, 100.0, rest_s))
            for number in range(count):
                rid = f"r{number}"
                record.seen[rid] = _seen("safe", asking.Reply(200), rid)
                record.reached.append((rid, "s", 101.5 + number / 10))
            with self.subTest(count=count, rest_s=rest_s):
                self.assertEqual(allowed, checks.judge_run(record) == [])
            record.fault("s", "server restart", 101.0, 1.0)
            self.assertEqual([], checks.judge_run(record))

    def test_a_host_goes_back_behind_a_version(self):
        record = records.new_record()
        record.seen["r1"] = _seen("v3", asking.Reply(200), "r1", 100.0, 3)
        record.seen["r2"] = _seen("v3", asking.Reply(404), "r2", 102.0, 4)
        record.seen["r3"] = _seen("safe", asking.Reply(200), "r3")
        self.assertEqual(
            [f"r2: {IP} went back behind version 3"],
            checks.judge_run(record))
        record.seen["r2"].ended_version = 5
        self.assertEqual([], checks.judge_run(record))

    def test_one_request_crashes_server_after_server(self):
        record = records.new_record()
        record.seen["r1"] = _seen("safe", asking.Reply(200))
        record.crashes = [(b"poison", 100.0 + n / 10) for n in range(5)]
        self.assertEqual([], checks.judge_run(record))
        record.crashes.append((b"poison", 102.0))
        self.assertNotEqual([], checks.judge_run(record))

    def test_no_recovery(self):
        good, bad = asking.Reply(200), asking.Reply(503)
        self.assertEqual([], checks.judge_end([good] * 9 + [bad]))
        self.assertNotEqual([], checks.judge_end([good] * 5 + [bad] * 5))


class ServersTest(unittest.TestCase):
    """Servers that go."""

    def test_one_that_left_may_crash_before_its_end(self):
        # The run's end of a server that had crashed meanwhile failed, and
        # what was due with it was not done.
        clock = task.Clock()
        clock.listenTCP = unittest.mock.Mock()
        soak = run.Soak(clock, 5, "/tmp", 1)
        soak._register = unittest.mock.Mock()
        soak.add_engine("engines")
        (sid,) = soak.engines
        soak.leave(sid)
        soak.crash(sid)
        soak.end_left(sid)
        self.assertEqual({}, soak.engines)


class FleetTest(unittest.TestCase):
    """Hosts' addresses."""

    def test_two_restarts_at_once_start_one_process(self):
        # A host was killed while its planned restart waited. Both started
        # it, and the run's end knew of one process only.
        fleet = fleets.Fleet("/tmp", "127.9", 1, CLOUD)
        waiting, started = [], []
        fleet.start = started.append
        fleet.processes[0] = unittest.mock.Mock(
            **{"poll.side_effect": [None, None, 0, 0]})
        for _ in range(2):
            fleet.restart(0, lambda span, *call: waiting.append(call))
        while waiting:
            function, *args = waiting.pop(0)
            function(*args)
        self.assertEqual([0], started)

    def test_hosts_of_another_run_are_noticed(self):
        # A run was killed and left its hosts; the next one with its seed
        # asked those, and two thirds of its requests failed.
        fleet = fleets.Fleet("/tmp", "127.9", 2, CLOUD)
        self.assertEqual([], fleet.taken())
        with socket.socket() as sock:
            sock.bind(("127.9.1.2", fleets.PORTS["Front"]))
            sock.listen()
            self.assertEqual(["127.9.1.2:18080"], fleet.taken())
