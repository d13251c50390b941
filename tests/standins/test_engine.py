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

# A power of two, so that sums of the test clock are exact.
STEP = 1 / 64


def chat(content, stop_after=20, **fields):
    """Return a request body for a stream."""
    return {"model": "guide", "stream": True, "stop_after": stop_after,
            "messages": [{"role": "user", "content": content}], **fields}


def answer_of(content, n):
    """Return the whole answer that a checker expects."""
    prompt = texts.prompt_text([{"role": "user", "content": content}])
    return texts.expected_text(prompt, n)


class EngineCase(unittest.TestCase):
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
        conn = client.Conn(engine.listener)
        return conn.send("POST", CHAT, chat(content, **fields),
                         X_Request_Id=rid, X_Priority=tier)

    def get(self, engine, path, **headers):
        return client.call(engine.listener, "GET", path, **headers)

    def post(self, engine, path, body):
        return client.call(engine.listener, "POST", path, body)


class StreamTest(EngineCase):
    def test_resume_gives_the_rest_whole(self):
        """A caller's stream stops half way, then goes on.

        The connection to the engine breaks after 7 events, the engine
        generates on, and the client comes back on a new connection.
        """
        engine = self.engine()
        self.post(engine, "/faults", {"break_after": 7})
        conn = self.start(engine, "r1", "tide?")
        self.steps(12)
        first = conn.answer()
        self.assertFalse(conn.is_open)
        self.assertEqual(7, len(first.events))
        again = client.Conn(engine.listener).send(
            "GET", "/v1/streams/r1", Last_Event_ID=first.events[-1][0])
        self.steps(12)
        rest = again.answer()
        self.assertTrue(rest.whole)
        self.assertEqual(answer_of("tide?", 20), first.text + rest.text)
        self.assertEqual([f"r1:{n}" for n in range(1, 23)],
                         [i for i, _ in first.events + rest.events])
        runs = self.get(engine, "/runs").json
        self.assertEqual({"r1": 1}, runs["by_request_id"])

    def test_resume_after_the_end_and_of_bad_events(self):
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

    def test_broken_stream_is_cancelled_after_the_grace(self):
        """A caller goes away and never comes back.

        Its connection closes; when the grace period is over the engine
        cancels the stream, so that the next request gets the slot.
        """
        engine = self.engine(grace=10 * STEP)
        gone = self.start(engine, "r1", "gone", stop_after=500)
        kept = self.start(engine, "r2", "kept", stop_after=2)
        self.steps(3)
        gone.close()
        self.steps(8)
        self.assertEqual([], kept.answer().events)
        self.steps(6)
        self.assertEqual(answer_of("kept", 2), kept.answer().text)
        self.assertEqual(404, self.get(engine, "/v1/streams/r1").status)

    def test_cancel_frees_the_slot(self):
        engine = self.engine()
        first = self.start(engine, "r1", "long", stop_after=500)
        second = self.start(engine, "r2", "short", stop_after=2)
        self.steps(5)
        path = "/v1/streams/r1"
        got = client.call(engine.listener, "DELETE", path)
        self.assertEqual(204, got.status)
        self.assertFalse(first.is_open)
        self.steps(4)
        self.assertEqual(answer_of("short", 2), second.answer().text)
        runs = self.get(engine, "/runs").json
        self.assertEqual(5, runs["tokens_cancelled"])
        got = client.call(engine.listener, "DELETE", path)
        self.assertEqual(404, got.status)

    def test_whole_answer_and_hidden_length(self):
        engine = self.engine()
        body = chat("free", stream=False)
        del body["stop_after"]
        conn = client.Conn(engine.listener).send(
            "POST", CHAT, body, X_Request_Id="r1")
        self.seconds(21)
        got = conn.answer().json
        count = got["usage"]["completion_tokens"]
        self.assertEqual(
            texts.draw_length("user: free", 1), count)
        self.assertEqual(answer_of("free", count),
                         got["choices"][0]["message"]["content"])


class QueueTest(EngineCase):
    def test_waiting_requests_run_by_tier(self):
        engine = self.engine()
        self.start(engine, "r1", "a", tier=3, stop_after=2)
        low = self.start(engine, "r2", "b", tier=3, stop_after=2)
        high = self.start(engine, "r3", "c", tier=1, stop_after=2)
        self.steps(4)
        self.assertTrue(high.answer().whole)
        self.assertEqual([], low.answer().events)

    def test_refused_requests_were_not_run(self):
        """A caller is told that its request was not run.

        One finds the queue full and one a model that isn't loaded; no
        count of runs may name them later.
        """
        engine = self.engine(queue=1)
        self.start(engine, "r1", "a")
        self.start(engine, "r2", "b")
        full = self.start(engine, "r3", "c").answer()
        self.assertEqual((429, "1"),
                         (full.status, full.headers["Retry-After"]))
        other = self.start(engine, "r4", "d", model="none").answer()
        self.assertEqual(503, other.status)
        self.seconds(1)
        runs = self.get(engine, "/runs").json
        self.assertEqual({"r1": 1, "r2": 1}, runs["by_request_id"])

    def test_full_memory_preempts_the_lowest_tier(self):
        """Answers grow beyond the engine's KV memory.

        The engine takes the slot of the lowest tier and runs it again
        later; every caller still gets the whole answer.
        """
        engine = self.engine(slots=4, kv=60)
        low = self.start(engine, "r1", "low", tier=3, stop_after=40)
        high = self.start(engine, "r2", "high", tier=1, stop_after=40)
        self.steps(41)
        self.assertTrue(high.answer().whole)
        self.assertFalse(low.answer().whole)
        self.steps(40)
        self.assertEqual(answer_of("low", 40), low.answer().text)
        self.assertEqual(1, engine.boot.batch.preempted)

    def test_step_grows_above_the_knee(self):
        for running, expected in ((1, 20), (2, 20), (4, 14)):
            engine = self.engine(slots=4)
            conns = [self.start(engine, f"r{i}", f"p{i}", stop_after=500)
                     for i in range(running)]
            self.clock.pump([STEP / 16] * 320)
            self.assertEqual(expected, len(conns[0].answer().events))

    def test_cached_prefix_shortens_the_prefill(self):
        engine = self.engine(prefill=0.001, load_lag=1.0,
                             cache_event_loss=0.5)
        prompt = "x" * 1100
        first = self.start(engine, "r1", prompt, stop_after=1)
        self.steps(10)
        self.assertEqual([], first.answer().events)
        self.steps(30)
        self.assertTrue(first.answer().whole)
        second = self.start(engine, "r2", prompt, stop_after=1)
        self.steps(4)
        self.assertTrue(second.answer().whole)
        path = "/cache/events?after=0"
        self.assertEqual([], self.get(engine, path).json["events"])
        self.seconds(1)
        got = self.get(engine, path).json["events"]
        keys = texts.prefix_keys("user: " + prompt)
        self.assertTrue(0 < len(got) < len(keys))
        self.assertLessEqual({e["prefix"] for e in got}, set(keys))


class ReportTest(EngineCase):
    def test_load_is_reported_with_a_lag(self):
        engine = self.engine(load_lag=1.0)
        self.seconds(2)
        self.start(engine, "r1", "a", stop_after=500)
        self.seconds(0.9)
        self.assertEqual(0, self.get(engine, "/load").json["running"])
        self.seconds(0.4)
        self.assertEqual(1, self.get(engine, "/load").json["running"])

    def test_fencing_numbers(self):
        """Two holders of the control lease give orders to one engine.

        The old one was paused and its order comes late, with a lower
        number: some engines refuse it and others carry it out.
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

    def test_repeated_order_changes_nothing(self):
        engine = self.engine(load_seconds=1.0)
        order = {"order_id": "o1", "kind": "load_model", "fence": 1,
                 "model": "new", "version": "2"}
        self.post(engine, "/orders", order)
        self.assertEqual(503, self.start(
            engine, "r1", "a", model="new").answer().status)
        self.seconds(1.1)
        got = self.post(engine, "/orders", order).json
        self.assertEqual({"version": "2", "status": "ready"},
                         got["state"]["models"]["new"])
        self.assertEqual(200, self.start(
            engine, "r1", "a", model="new").answer().status)


class FaultTest(EngineCase):
    def test_crash_drops_this_engine_only(self):
        """One request crashes the engine that runs it.

        All streams of that engine break and it refuses connections,
        while another in the same process goes on; it comes back with a
        new boot id and without the streams.
        """
        engine, other = self.engine(slots=2), self.engine()
        self.post(engine, "/faults", {"crash_on": "poison"})
        boot_id = self.get(engine, "/load").json["boot_id"]
        streams = [self.start(engine, "r1", "a"),
                   self.start(other, "r2", "b")]
        self.steps(5)
        poison = self.start(engine, "r3", "a poison pill")
        self.assertIsNone(poison.answer())
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
        self.assertEqual(answer_of("b", 20), streams[1].answer().text)

    def test_silent_connection(self):
        """An open connection goes silent for good.

        Nothing comes on it, requests and a close on it are unheard, and
        the engine generates on; a new connection resumes the stream.
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
                seen = conn.answer()
                conn.close()
                self.steps(30)
                self.assertEqual(seen, conn.answer())
                self.assertFalse(seen.whole)
                rest = self.get(engine, "/v1/streams/r1",
                                Last_Event_ID=seen.events[-1][0])
                self.assertEqual(answer_of("a", 20), seen.text + rest.text)

    def test_straggler_is_slower_by_its_factor(self):
        engine = self.engine()
        self.post(engine, "/faults", {"straggle": 4})
        conn = self.start(engine, "r1", "a")
        self.steps(40)
        self.assertEqual(10, len(conn.answer().events))
