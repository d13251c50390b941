"""Tests of the stand-in engine."""
import unittest

from twisted.internet import testing

from standins import batch
from standins import engine_app
from standins import engine_state
from standins import texts
from standins import web
from tests.standins import client

CHAT = "/v1/chat/completions"

# A power of two, so that sums of fake clock steps are exact.
STEP = 1 / 64


def chat(content, stop_after=20, **fields):
    """Return the body of a streaming chat request."""
    return {"model": "guide", "stream": True, "stop_after": stop_after,
            "messages": [{"role": "user", "content": content}], **fields}


def expected_answer(content, n):
    """Return the complete answer that is expected for a prompt."""
    prompt = texts.prompt_text([{"role": "user", "content": content}])
    return texts.expected_text(prompt, n)


class EngineTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = testing.MemoryReactorClock()

    def engine(self, **settings):
        sizes = batch.BatchConfig(
            slots=settings.pop("slots", 1), tpot=STEP,
            prefill_per_token=settings.pop("prefill", 0.0),
            max_kv_tokens=settings.pop("kv", 10000),
            max_queue=settings.pop("queue", 4))
        cfg = engine_state.EngineConfig("g-1", sizes, **settings)
        return engine_app.serve_engine(self.clock, cfg, "127.0.0.1", 1)

    def steps(self, n):
        self.clock.pump([STEP] * n)

    def seconds(self, n):
        self.steps(round(n / STEP))

    def start(self, engine, rid, content, tier=1, **fields):
        conn = client.Connection(engine.listener)
        return conn.send("POST", CHAT, chat(content, **fields),
                         X_Request_Id=rid, X_Priority=tier)

    def get(self, engine, path, **headers):
        return client.request(engine.listener, "GET", path, **headers)

    def post(self, engine, path, body):
        return client.request(engine.listener, "POST", path, body)


class StreamTest(EngineTestCase):
    def test_resume_returns_the_remaining_events(self):
        """A stream that is cut and resumed is complete and runs once.

        The connection breaks after 7 events, the engine continues to
        generate, and the client resumes on a new connection.
        """
        engine = self.engine()
        self.post(engine, "/faults", {"break_after": 7})
        conn = self.start(engine, "r1", "tide?")
        self.steps(12)
        first = conn.response()
        self.assertFalse(conn.is_open)
        self.assertEqual(7, len(first.events))
        again = client.Connection(engine.listener).send(
            "GET", "/v1/streams/r1", Last_Event_ID=first.events[-1][0])
        self.steps(12)
        rest = again.response()
        self.assertTrue(rest.complete)
        self.assertEqual(expected_answer("tide?", 20), first.text + rest.text)
        self.assertEqual([f"r1:{n}" for n in range(1, 23)],
                         [i for i, _ in first.events + rest.events])
        runs = self.get(engine, "/runs").json
        self.assertEqual({"r1": 1}, runs["by_request_id"])

    def test_resume_after_the_end_and_with_invalid_event_ids(self):
        engine = self.engine()
        self.start(engine, "r1", "wind?", stop_after=3)
        self.steps(4)
        for after, status, count in (
                ("r1:1", 200, 4), ("r1:4", 200, 1), ("r1:5", 200, 0),
                ("r1:6", 400, None), ("r2:1", 400, None)):
            with self.subTest(after=after):
                got = self.get(
                    engine, "/v1/streams/r1", Last_Event_ID=after)
                self.assertEqual(status, got.status)
                if count is not None:
                    self.assertEqual(count, len(got.events))
        self.seconds(11)
        self.assertEqual(404, self.get(engine, "/v1/streams/r1").status)

    def test_disconnected_stream_is_cancelled_after_the_grace_period(self):
        """A stream whose caller disconnected must not keep its slot.

        The caller never reconnects: after the grace period the engine
        cancels the stream and the next request gets the slot.
        """
        engine = self.engine(grace=10 * STEP)
        disconnected = self.start(engine, "r1", "gone", stop_after=500)
        waiting = self.start(engine, "r2", "kept", stop_after=2)
        self.steps(3)
        disconnected.close()
        self.steps(8)
        self.assertEqual([], waiting.response().events)
        self.steps(6)
        self.assertEqual(expected_answer("kept", 2), waiting.response().text)
        self.assertEqual(404, self.get(engine, "/v1/streams/r1").status)

    def test_cancel_frees_the_slot(self):
        engine = self.engine()
        first = self.start(engine, "r1", "long", stop_after=500)
        second = self.start(engine, "r2", "short", stop_after=2)
        self.steps(5)
        path = "/v1/streams/r1"
        got = client.request(engine.listener, "DELETE", path)
        self.assertEqual(204, got.status)
        self.assertFalse(first.is_open)
        self.steps(4)
        self.assertEqual(expected_answer("short", 2), second.response().text)
        runs = self.get(engine, "/runs").json
        self.assertEqual(5, runs["tokens_cancelled"])
        got = client.request(engine.listener, "DELETE", path)
        self.assertEqual(404, got.status)

    def test_non_streaming_response_has_the_drawn_length(self):
        engine = self.engine()
        body = chat("free", stream=False)
        del body["stop_after"]
        conn = client.Connection(engine.listener).send(
            "POST", CHAT, body, X_Request_Id="r1")
        self.seconds(21)
        got = conn.response().json
        count = got["usage"]["completion_tokens"]
        self.assertEqual(
            texts.draw_length("user: free", 1), count)
        self.assertEqual(expected_answer("free", count),
                         got["choices"][0]["message"]["content"])


class QueueTest(EngineTestCase):
    def test_waiting_requests_run_by_tier(self):
        engine = self.engine()
        self.start(engine, "r1", "a", tier=3, stop_after=2)
        low_tier = self.start(engine, "r2", "b", tier=3, stop_after=2)
        high_tier = self.start(engine, "r3", "c", tier=1, stop_after=2)
        self.steps(4)
        self.assertTrue(high_tier.response().complete)
        self.assertEqual([], low_tier.response().events)

    def test_refused_requests_are_not_run(self):
        """A refused request must not be run or counted as run.

        One is refused because the queue is full, the other because its
        model isn't loaded.
        """
        engine = self.engine(queue=1)
        self.start(engine, "r1", "a")
        self.start(engine, "r2", "b")
        full = self.start(engine, "r3", "c").response()
        self.assertEqual((429, "1"),
                         (full.status, full.headers["Retry-After"]))
        other = self.start(engine, "r4", "d", model="none").response()
        self.assertEqual(503, other.status)
        self.seconds(1)
        runs = self.get(engine, "/runs").json
        self.assertEqual({"r1": 1, "r2": 1}, runs["by_request_id"])

    def test_full_kv_memory_preempts_the_lowest_tier(self):
        """A preempted stream must still get its complete answer.

        The answers outgrow the engine's KV memory, so the engine preempts
        the stream of the lowest tier and runs it again later.
        """
        engine = self.engine(slots=4, kv=60)
        low_tier = self.start(engine, "r1", "low", tier=3, stop_after=40)
        high_tier = self.start(engine, "r2", "high", tier=1, stop_after=40)
        self.steps(41)
        self.assertTrue(high_tier.response().complete)
        self.assertFalse(low_tier.response().complete)
        self.steps(40)
        self.assertEqual(expected_answer("low", 40), low_tier.response().text)
        self.assertEqual(1, engine.boot.batch.preempted)

    def test_step_time_grows_above_the_knee(self):
        for running, expected in ((1, 20), (2, 20), (4, 14)):
            engine = self.engine(slots=4)
            conns = [self.start(engine, f"r{i}", f"p{i}", stop_after=500)
                     for i in range(running)]
            self.clock.pump([STEP / 16] * 320)
            self.assertEqual(expected, len(conns[0].response().events))

    def test_cached_prefix_shortens_the_prefill(self):
        engine = self.engine(prefill=0.001, load_lag=1.0,
                             cache_event_loss=0.5)
        prompt = "x" * 1100
        first = self.start(engine, "r1", prompt, stop_after=1)
        self.steps(10)
        self.assertEqual([], first.response().events)
        self.steps(30)
        self.assertTrue(first.response().complete)
        second = self.start(engine, "r2", prompt, stop_after=1)
        self.steps(4)
        self.assertTrue(second.response().complete)
        path = "/cache/events?after=0"
        self.assertEqual([], self.get(engine, path).json["events"])
        self.seconds(1)
        got = self.get(engine, path).json["events"]
        keys = texts.prefix_keys("user: " + prompt)
        self.assertTrue(0 < len(got) < len(keys))
        self.assertLessEqual({e["prefix"] for e in got}, set(keys))


class ReportTest(EngineTestCase):
    def test_load_report_has_a_lag(self):
        engine = self.engine(load_lag=1.0)
        self.seconds(2)
        self.start(engine, "r1", "a", stop_after=500)
        self.seconds(0.9)
        self.assertEqual(0, self.get(engine, "/load").json["running"])
        self.seconds(0.4)
        self.assertEqual(1, self.get(engine, "/load").json["running"])

    def test_fencing_tokens(self):
        """An order with a lower fence is refused if the engine checks fences.

        The former holder of the control lease was paused, so its order
        arrives after one of the new holder. Engines that don't check
        fences execute it.
        """
        for checks, status, role, highest in (
                (True, 409, "decode", 7), (False, 200, "prefill", 0)):
            with self.subTest(checks=checks):
                engine = self.engine(checks_fence=checks)
                order = {"order_id": "o1", "kind": "set_role",
                         "role": "decode", "fence": 7}
                self.post(engine, "/orders", order)
                late = {"order_id": "o2", "kind": "set_role",
                        "role": "prefill", "fence": 6}
                got = self.post(engine, "/orders", late)
                self.assertEqual(status, got.status)
                state = self.get(engine, "/state").json
                self.assertEqual((role, highest),
                                 (state["role"], state["highest_fence"]))

    def test_repeated_order_is_ignored(self):
        engine = self.engine(load_seconds=1.0)
        order = {"order_id": "o1", "kind": "load_model", "fence": 1,
                 "model": "new", "version": "2"}
        self.post(engine, "/orders", order)
        self.assertEqual(503, self.start(
            engine, "r1", "a", model="new").response().status)
        self.seconds(1.1)
        got = self.post(engine, "/orders", order).json
        self.assertEqual({"version": "2", "status": "ready"},
                         got["state"]["models"]["new"])
        self.assertEqual(200, self.start(
            engine, "r1", "a", model="new").response().status)


class FaultTest(EngineTestCase):
    def test_crash_affects_only_one_engine(self):
        """A crash must not affect other engines of the process.

        A request crashes the engine that runs it: its streams break and
        it refuses connections until it restarts, with a new boot id and
        no streams.
        """
        engine, other = self.engine(slots=2), self.engine()
        self.post(engine, "/faults", {"crash_on": "poison"})
        boot_id = self.get(engine, "/load").json["boot_id"]
        streams = [self.start(engine, "r1", "a"),
                   self.start(other, "r2", "b")]
        self.steps(5)
        poison = self.start(engine, "r3", "a poison pill")
        self.assertIsNone(poison.response())
        self.assertEqual([False, True], [c.is_open for c in streams])
        self.assertIsNone(engine.listener.port)
        ports = len(self.clock.tcpServers)
        self.seconds(web.RESTART_SECONDS + STEP)
        self.assertEqual(ports + 1, len(self.clock.tcpServers))
        self.assertNotEqual(
            boot_id, self.get(engine, "/load").json["boot_id"])
        self.assertEqual(404, self.get(engine, "/v1/streams/r1").status)
        runs = self.get(engine, "/runs").json["by_request_id"]
        self.assertEqual({"r1": 1, "r3": 1}, runs)
        self.assertEqual(expected_answer("b", 20), streams[1].response().text)

    def test_silent_connection(self):
        """A stream on a silent connection can be resumed on another.

        The silent connection transfers no data in either direction, not
        even its close; the engine continues to generate.
        """
        for fault in ({"silent_after": 5}, {"silent": True}):
            with self.subTest(fault=fault):
                engine = self.engine(grace=2 * STEP)
                conn = self.start(engine, "r1", "a")
                self.steps(5)
                self.post(engine, "/faults", {})
                if "silent" in fault:
                    self.post(engine, "/faults", fault)
                else:
                    engine.faults.silent_after = 6
                self.steps(3)
                seen = conn.response()
                conn.close()
                self.steps(30)
                self.assertEqual(seen, conn.response())
                self.assertFalse(seen.complete)
                rest = self.get(engine, "/v1/streams/r1",
                                Last_Event_ID=seen.events[-1][0])
                self.assertEqual(expected_answer("a", 20),
                                 seen.text + rest.text)

    def test_straggle_factor_slows_the_engine(self):
        engine = self.engine()
        self.post(engine, "/faults", {"straggle": 4})
        conn = self.start(engine, "r1", "a")
        self.steps(40)
        self.assertEqual(10, len(conn.response().events))
