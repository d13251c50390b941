"""The platform client against the Object API, with and without faults."""

import random
import unittest

from twisted.internet import defer
from twisted.internet import task

from crocuskeel import objectapi


class FakeApi:
    """Answers calls from a script; None leaves a call unanswered."""

    def __init__(self, script=None):
        self.script = list(script or ())
        self.default = objectapi.HttpResponse(200, {"etag": '"7"'}, b"x")
        self.calls = []
        self.unanswered = []
        self.open_calls = 0
        self.max_open_calls = 0

    def send(self, method, url, headers, data, timeout):
        """Imitate the transport's ``send``."""
        self.calls.append((method, url, headers))
        response = self.script.pop(0) if self.script else self.default
        if response is None:
            self.open_calls += 1
            self.max_open_calls = max(self.max_open_calls, self.open_calls)
            self.unanswered.append(defer.Deferred(self._cancel))
            return self.unanswered[-1]
        if isinstance(response, Exception):
            return defer.fail(response)
        return defer.succeed(response)

    def _cancel(self, deferred):
        self.open_calls -= 1


def response(status, body=b"", **headers):
    """Return a response of the API."""
    http_headers = {
        key.replace("_", "-"): value for key, value in headers.items()}
    return objectapi.HttpResponse(status, http_headers, body)


def new_client(api, clock, seed=1, **kwargs):
    """Return a client of a fake API with a fake clock."""
    cfg = objectapi.ClientConfig("http://127.0.0.1:1", "t0", **kwargs)
    return objectapi.new_client(
        clock, cfg, api.send, random.Random(seed))


def advance_until_fired(clock, deferred, duration_s=60.0):
    """Advance the clock until the Deferred fires; return result and time."""
    fired = []
    deferred.addBoth(fired.append)
    started_at = clock.seconds()
    while not fired and clock.seconds() - started_at < duration_s:
        clock.advance(0.01)
    return (fired or [None])[0], clock.seconds() - started_at


LOST_RESPONSE = objectapi.ResponseLost("connection lost")
REFUSED_CONNECTION = objectapi.NotSent("connection refused")
PUT = ("put", "a/b", b"x", 3)

# Rows: name, script of responses, call, expected result, number of calls.
FAULTS = [
    ("found", [], ("get", "a"), objectapi.Found(7, b"x"), 1),
    ("missing", [response(404)], ("get", "a"), objectapi.NotFound(), 1),
    ("read lost, then answered", [LOST_RESPONSE], ("get", "a"),
     objectapi.Found(7, b"x"), 2),
    ("read 500, then answered", [response(500)], ("get", "a"),
     objectapi.Found(7, b"x"), 2),
    ("read lost each time", [LOST_RESPONSE] * 3, ("get", "a"),
     objectapi.Unavailable("lost"), 3),
    ("read without version", [response(200)] * 3, ("get", "a"),
     objectapi.Unavailable("bad_answer"), 3),
    ("written", [response(200, etag='"8"')], PUT, objectapi.Written(8), 1),
    ("stale version", [response(412)], PUT, objectapi.Conflict(), 1),
    ("lost write is never retried", [LOST_RESPONSE], PUT,
     objectapi.WriteUnknown("lost"), 1),
    ("unanswered write is never retried", [None], PUT,
     objectapi.WriteUnknown("lost"), 1),
    ("write with 503 may have taken effect", [response(503)], PUT,
     objectapi.WriteUnknown("server_error"), 1),
    ("write with 000 may have taken effect", [response(0)], PUT,
     objectapi.WriteUnknown("server_error"), 1),
    ("write without version", [response(200)], PUT,
     objectapi.WriteUnknown("bad_answer"), 1),
    ("write not sent, then answered", [REFUSED_CONNECTION], PUT,
     objectapi.Written(7), 2),
    ("write not sent each time", [REFUSED_CONNECTION] * 3, PUT,
     objectapi.Unavailable("not_sent"), 3),
    ("write too large", [response(413)], PUT, objectapi.Rejected(413), 1),
    ("busy with Retry-After", [response(429, retry_after="0.5")], PUT,
     objectapi.Written(7), 2),
    ("create loses a race", [response(412)], ("create", "a", b""),
     objectapi.Conflict(), 1),
    ("lost delete is never retried", [LOST_RESPONSE], ("delete", "a", 3),
     objectapi.WriteUnknown("lost"), 1),
    ("watch ends unchanged", [response(304)], ("watch", "a", 7, 30.0),
     objectapi.Unchanged(7), 1),
    ("listing", [response(200, b'{"objects":[{"path":"a","version":2}]}')],
     ("list_objects", "a"),
     objectapi.ObjectList((objectapi.ObjectRef("a", 2),)), 1),
    ("host list", [response(
        200, b'{"at":4,"hosts":[{"name":"e1","address":"127.0.0.2",'
        b'"port":80,"domain":"perth-a","region":"wa-south",'
        b'"role":"engine","service":"guide-llm","state":"leaving"}]}')],
     ("hosts",),
     objectapi.HostList(4, (objectapi.HostEntry(
         "e1", "127.0.0.2", 80, "perth-a", "wa-south", "engine",
         "guide-llm", "leaving"),)), 1),
]


class FaultTableTest(unittest.TestCase):
    """Each fault gives the result that states what may have happened."""

    def test_faults(self):
        for name, script, call, expected, call_count in FAULTS:
            with self.subTest(name):
                clock = task.Clock()
                api = FakeApi(script)
                client = new_client(api, clock)
                deferred = getattr(client, call[0])(*call[1:])
                result, took_s = advance_until_fired(clock, deferred)
                self.assertEqual(expected, result)
                self.assertEqual(call_count, len(api.calls))
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
    """An outage causes few calls, and its end causes no burst of calls."""

    def test_outage_and_its_end(self):
        """The platform hangs for a minute and recovers.

        Without a circuit breaker every caller waits for its timeout
        against a dead store, and when it recovers the waiting calls of
        all hosts arrive at once and overload it again. The failure
        occurs if calls are made regardless of earlier failures and the
        hosts' retries are synchronized.
        """
        clock = task.Clock()
        hosts = []
        for seed in range(20):
            api = FakeApi([None] * 100000)
            hosts.append((api, new_client(api, clock, seed)))
        last_calls_at = self._call_repeatedly(clock, hosts, 60.0)
        for api, _ in hosts:
            # 16 in flight at first, then probes: 5 while the open period
            # doubles, 10 at its maximum with the least jitter.
            self.assertLessEqual(len(api.calls), 16 + 15)
            self.assertLessEqual(api.max_open_calls, 16)
        for api, _ in hosts:
            api.script = []
            api.calls = []
        self.assertGreater(len(set(last_calls_at)), 10)
        for _ in range(15):
            self._call_repeatedly(clock, hosts, 1.0)
            for api, _ in hosts:
                # The rate and the probe; a full bucket would let 50 pass
                # in the first second.
                self.assertLessEqual(len(api.calls), 20 + 2)
                api.calls = []
        for _, client in hosts:
            self.assertEqual("closed", client.circuit.state())

    def _call_repeatedly(self, clock, hosts, duration_s):
        """Call 50 times a second on each host; return the last send times."""
        last_calls_at = [0.0] * len(hosts)
        for _ in range(int(duration_s / 0.02)):
            clock.advance(0.02)
            for index, (api, client) in enumerate(hosts):
                before = len(api.calls)
                client.get("a")
                if len(api.calls) > before:
                    last_calls_at[index] = round(clock.seconds(), 2)
        return last_calls_at

    def test_open_circuit_refuses_immediately(self):
        clock = task.Clock()
        api = FakeApi([LOST_RESPONSE] * 5)
        client = new_client(api, clock)
        for _ in range(5):
            client.put("a", b"", 1)
        result = self.result_of(client.put("a", b"", 1))
        self.assertEqual("circuit_open", result.reason)
        self.assertGreater(result.retry_after_s, 0.0)
        clock.advance(1.0)
        self.result_of(client.watch("a", 1, 30.0))
        self.assertIn("timeout_s=0", api.calls[-1][1])
        self.assertEqual("closed", client.circuit.state())

    def test_cancelled_probe_reopens_the_circuit(self):
        """A cancelled probe must not block the circuit.

        The caller cancels the probe, so that it never has a result. The
        failure occurs if the circuit waits for one: calls would then be
        refused forever after an outage.
        """
        clock = task.Clock()
        api = FakeApi([LOST_RESPONSE] * 5 + [None])
        client = new_client(api, clock)
        for _ in range(5):
            client.put("a", b"", 1)
        clock.advance(1.0)
        probe = client.get("a")
        probe.cancel()
        self.assertEqual("open", client.circuit.state())

    def test_response_from_before_the_outage_does_not_close_the_circuit(self):
        """An old response must not close the circuit.

        A watch from before the outage is answered while the probe hangs.
        The failure occurs if this counts as the success of the probe:
        all calls would then go to a dead store.
        """
        clock = task.Clock()
        api = FakeApi([None] + [LOST_RESPONSE] * 5 + [None])
        client = new_client(api, clock)
        client.watch("a", 1, 30.0)
        for _ in range(5):
            client.put("a", b"", 1)
        clock.advance(1.0)
        client.put("a", b"", 1)
        self.assertEqual("probing", client.circuit.state())
        api.unanswered[0].callback(api.default)
        self.assertEqual("probing", client.circuit.state())

    def test_call_without_budget_is_not_sent(self):
        clock = task.Clock()
        api = FakeApi()
        client = new_client(api, clock, rate=10.0, burst=2.0)
        for _ in range(2):
            self.result_of(client.get("a"))
        result = self.result_of(client.get("a"))
        self.assertEqual("budget_spent", result.reason)
        self.assertAlmostEqual(0.1, result.retry_after_s)
        self.assertEqual(2, len(api.calls))

    def result_of(self, deferred):
        """Return the result of a Deferred that has fired."""
        fired = []
        deferred.addBoth(fired.append)
        self.assertEqual(1, len(fired))
        return fired[0]
