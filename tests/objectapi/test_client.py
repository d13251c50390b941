"""Contract of the platform client with the Object API, with faults."""

import random
import unittest

from twisted.internet import defer
from twisted.internet import task

from crocuskeel import objectapi


class FakeApi:
    """Answers calls from a script; None leaves a call unanswered."""

    def __init__(self, script=None):
        self.script = list(script or ())
        self.default = objectapi.HttpAnswer(200, {"etag": '"7"'}, b"x")
        self.calls = []
        self.held = []
        self.open_calls = 0
        self.most_open = 0

    def send(self, method, url, headers, data, timeout):
        """Take a call as the transport would."""
        self.calls.append((method, url, headers))
        answer = self.script.pop(0) if self.script else self.default
        if answer is None:
            self.open_calls += 1
            self.most_open = max(self.most_open, self.open_calls)
            self.held.append(defer.Deferred(self._cancelled))
            return self.held[-1]
        if isinstance(answer, Exception):
            return defer.fail(answer)
        return defer.succeed(answer)

    def _cancelled(self, fut):
        self.open_calls -= 1


def answer(status, body=b"", **headers):
    """Build an answer of the API."""
    named = {key.replace("_", "-"): val for key, val in headers.items()}
    return objectapi.HttpAnswer(status, named, body)


def new_client(api, clock, seed=1, **kwargs):
    """Return a client on a fake API and a paused clock."""
    cfg = objectapi.ClientConfig("http://127.0.0.1:1", "t0", **kwargs)
    return objectapi.new_client(
        clock, cfg, api.send, random.Random(seed))


def settle(clock, fut, span_s=60.0):
    """Advance the clock until ``fut`` fires; return result and time."""
    fired = []
    fut.addBoth(fired.append)
    begun = clock.seconds()
    while not fired and clock.seconds() - begun < span_s:
        clock.advance(0.01)
    return (fired or [None])[0], clock.seconds() - begun


LOST = objectapi.AnswerLost("connection lost")
REFUSED = objectapi.NotSent("connection refused")
PUT = ("put", "a/b", b"x", 3)

# One row a fault: script of answers, call, expected result, calls made.
FAULTS = [
    ("found", [], ("get", "a"), objectapi.Found(7, b"x"), 1),
    ("missing", [answer(404)], ("get", "a"), objectapi.NotFound(), 1),
    ("read lost, then well", [LOST], ("get", "a"),
     objectapi.Found(7, b"x"), 2),
    ("read 500, then well", [answer(500)], ("get", "a"),
     objectapi.Found(7, b"x"), 2),
    ("read lost for good", [LOST] * 3, ("get", "a"),
     objectapi.Unavailable("lost"), 3),
    ("read without version", [answer(200)] * 3, ("get", "a"),
     objectapi.Unavailable("bad_answer"), 3),
    ("written", [answer(200, etag='"8"')], PUT, objectapi.Written(8), 1),
    ("stale version", [answer(412)], PUT, objectapi.Conflict(), 1),
    ("write lost is never repeated", [LOST], PUT,
     objectapi.WriteUnknown("lost"), 1),
    ("write silent is never repeated", [None], PUT,
     objectapi.WriteUnknown("lost"), 1),
    ("write 503 may have happened", [answer(503)], PUT,
     objectapi.WriteUnknown("server_error"), 1),
    ("write without version", [answer(200)], PUT,
     objectapi.WriteUnknown("bad_answer"), 1),
    ("write not sent, then well", [REFUSED], PUT,
     objectapi.Written(7), 2),
    ("write not sent for good", [REFUSED] * 3, PUT,
     objectapi.Unavailable("not_sent"), 3),
    ("write too large", [answer(413)], PUT, objectapi.Rejected(413), 1),
    ("busy, told when", [answer(429, retry_after="0.5")], PUT,
     objectapi.Written(7), 2),
    ("create loses a race", [answer(412)], ("create", "a", b""),
     objectapi.Conflict(), 1),
    ("delete lost is never repeated", [LOST], ("delete", "a", 3),
     objectapi.WriteUnknown("lost"), 1),
    ("watch ends", [answer(304)], ("watch", "a", 7, 30.0),
     objectapi.Unchanged(7), 1),
    ("listing", [answer(200, b'{"objects":[{"path":"a","version":2}]}')],
     ("list_objects", "a"),
     objectapi.Listed((objectapi.ObjectRef("a", 2),)), 1),
    ("host list", [answer(
        200, b'{"at":4,"hosts":[{"name":"e1","address":"127.0.0.2",'
        b'"port":80,"domain":"perth-a","region":"wa-south",'
        b'"role":"engine","service":"guide-llm","state":"leaving"}]}')],
     ("hosts",),
     objectapi.HostList(4, (objectapi.HostEntry(
         "e1", "127.0.0.2", 80, "perth-a", "wa-south", "engine",
         "guide-llm", "leaving"),)), 1),
]


class FaultTableTest(unittest.TestCase):
    """Each fault of the interface gives the result that is true."""

    def test_faults(self):
        for name, script, call, expected, made in FAULTS:
            with self.subTest(name):
                clock = task.Clock()
                api = FakeApi(script)
                client = new_client(api, clock)
                fut = getattr(client, call[0])(*call[1:])
                result, took_s = settle(clock, fut)
                self.assertEqual(expected, result)
                self.assertEqual(made, len(api.calls))
                self.assertLess(took_s, client.cfg.call_s + 0.02)

    def test_conditions_and_token_are_sent(self):
        clock = task.Clock()
        api = FakeApi()
        client = new_client(api, clock)
        client.put("a b", b"x", 3)
        client.create("a", b"x")
        client.watch("a", 5, 30.0)
        (_, url, put), (_, _, create), (_, watch, _) = api.calls
        self.assertEqual("http://127.0.0.1:1/objects/a%20b", url)
        self.assertEqual(
            {"If-Match": '"3"', "Authorization": "Bearer t0"}, put)
        self.assertEqual("*", create["If-None-Match"])
        self.assertTrue(watch.endswith("?watch=5&timeout_s=30"))
        self.assertEqual(
            {"writes": 2, "watches": 1}, dict(client.counts))


class OutageTest(unittest.TestCase):
    """An outage costs few calls, and its end is no stampede."""

    def test_outage_and_its_end(self):
        """The platform hangs for a minute and comes back.

        Without a circuit every caller waits out its bound against a
        dead store, and at the end all hosts' waiting calls land at once
        and put it down again. Cause: calls are made whatever the last
        ones gave, and the hosts' repeats are in step.
        """
        clock = task.Clock()
        hosts = []
        for seed in range(20):
            api = FakeApi([None] * 100000)
            hosts.append((api, new_client(api, clock, seed)))
        probes_at = self._run(clock, hosts, 60.0)
        for api, _ in hosts:
            # 16 in flight at first, then probes: 5 while the open span
            # doubles, 10 at its cap with the least jitter.
            self.assertLessEqual(len(api.calls), 16 + 15)
            self.assertLessEqual(api.most_open, 16)
        for api, _ in hosts:
            api.script = []
            api.calls = []
        self.assertGreater(len(set(probes_at)), 10)
        for _ in range(15):
            self._run(clock, hosts, 1.0)
            for api, _ in hosts:
                # The rate, and the probe; a full bucket would let 50
                # pass in the first second.
                self.assertLessEqual(len(api.calls), 20 + 2)
                api.calls = []
        for _, client in hosts:
            self.assertEqual("closed", client.circuit.state())

    def _run(self, clock, hosts, span_s):
        """Let each host ask 50 times a second; return last probes."""
        last = [0.0] * len(hosts)
        for _ in range(int(span_s / 0.02)):
            clock.advance(0.02)
            for at, (api, client) in enumerate(hosts):
                before = len(api.calls)
                client.get("a")
                if len(api.calls) > before:
                    last[at] = round(clock.seconds(), 2)
        return last

    def test_open_circuit_answers_at_once(self):
        clock = task.Clock()
        api = FakeApi([LOST] * 5)
        client = new_client(api, clock)
        for _ in range(5):
            client.put("a", b"", 1)
        result = self.successful(client.put("a", b"", 1))
        self.assertEqual("circuit_open", result.reason)
        self.assertGreater(result.retry_after_s, 0.0)
        clock.advance(1.0)
        self.successful(client.watch("a", 1, 30.0))
        self.assertIn("timeout_s=0", api.calls[-1][1])
        self.assertEqual("closed", client.circuit.state())

    def test_cancelled_probe_does_not_hold_the_circuit(self):
        """Calls stay refused for good after an outage.

        The probe is cancelled by its caller, so that no result of it
        ever comes, and the circuit waits for one.
        """
        clock = task.Clock()
        api = FakeApi([LOST] * 5 + [None])
        client = new_client(api, clock)
        for _ in range(5):
            client.put("a", b"", 1)
        clock.advance(1.0)
        probe = client.get("a")
        probe.cancel()
        self.assertEqual("open", client.circuit.state())

    def test_answer_from_before_the_outage_closes_nothing(self):
        """All calls go to a dead store although its probe hangs.

        A watch of before the outage is answered while the probe waits,
        and counts as the probe's success.
        """
        clock = task.Clock()
        api = FakeApi([None] + [LOST] * 5 + [None])
        client = new_client(api, clock)
        client.watch("a", 1, 30.0)
        for _ in range(5):
            client.put("a", b"", 1)
        clock.advance(1.0)
        client.put("a", b"", 1)
        self.assertEqual("probing", client.circuit.state())
        api.held[0].callback(api.default)
        self.assertEqual("probing", client.circuit.state())

    def test_spent_budget_is_not_sent(self):
        clock = task.Clock()
        api = FakeApi()
        client = new_client(api, clock, rate=10.0, burst=2.0)
        for _ in range(2):
            self.successful(client.get("a"))
        result = self.successful(client.get("a"))
        self.assertEqual("budget_spent", result.reason)
        self.assertAlmostEqual(0.1, result.retry_after_s)
        self.assertEqual(2, len(api.calls))

    def successful(self, fut):
        """Return the result of a Deferred that has fired."""
        fired = []
        fut.addBoth(fired.append)
        self.assertEqual(1, len(fired))
        return fired[0]
