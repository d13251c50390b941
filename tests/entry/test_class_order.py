"""No larger request begins where a more urgent one is refused."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import prefix_cache
from tests.entry import support

SLOTS = 24
MEMORY = 230_000
FETCH_TOKEN_S = 5e-6
PEER = "h1"

ENGINE = strategies.fixed_dictionaries({
    # What another host has there: requests, queued prompts and tokens.
    "requests": strategies.integers(0, SLOTS),
    "prompts": strategies.integers(0, 8),
    "tokens": strategies.integers(0, 20_000),
    "prefill_share": strategies.floats(0.0, 1.0),
    "pause_s": strategies.floats(0.0, 0.6),
    "urgent_streams": strategies.integers(0, 8),
    "parts": strategies.sets(strategies.sampled_from(("urgent", "large"))),
})
URGENT = strategies.fixed_dictionaries({
    "target_s": strategies.sampled_from((0.3, 1.2)),
    "gap_s": strategies.sampled_from((0.05, 0.25, 0.5)),
    "shared": strategies.sampled_from((170, 1_300, 2_500)),
})
LARGE = strategies.fixed_dictionaries({
    "priority": strategies.integers(1, 3),
    "target_s": strategies.sampled_from((1.2, 2.0, 10.0)),
    "gap_s": strategies.sampled_from((0.5, 1.0)),
    "shared": strategies.sampled_from((6_300, 13_000)),
})


def _prompt(part, shared):
    return model.Prompt(((part, shared), (f"own-{part}", 500)),
                        shared + 500, 200)


class _Engines:
    """A host that sees engines whose load stays as it was drawn."""

    def __init__(self, engines, urgent, large, fetch_token_s):
        self.engines = {f"engine-{number}": engine
                        for number, engine in enumerate(engines)}
        self.prompts = {"urgent": _prompt("urgent", urgent["shared"]),
                        "large": _prompt("large", large["shared"])}
        self.routes = {
            "urgent": support.stream(
                "urgent", target_s=urgent["target_s"], gap_s=urgent["gap_s"]),
            "large": support.stream(
                "large", priority=large["priority"],
                target_s=large["target_s"], gap_s=large["gap_s"])}
        self.driver = support.Driver(servers=tuple(
            support.server(sid, "engines", slots=SLOTS)
            for sid in self.engines))
        catalog = support.catalog(*self.routes.values())
        self.driver.feed(events.CatalogRead(dataclasses.replace(
            catalog, services={"engines": model.Service(
                "engines", 360, model.EngineSpec(
                    SLOTS, MEMORY, fetch_token_s))})))
        self.keys = 0
        self.apply_loads()

    def apply_loads(self):
        now = self.driver.now
        for sid, engine in self.engines.items():
            state = self.driver.host.servers[sid]
            prompts = min(engine["prompts"], engine["requests"])
            state.peer_loads.update(
                PEER, engine["requests"], engine["tokens"] if prompts else 0,
                prompts, now, ((0, 250, engine["urgent_streams"]),))
            state.prefill_share = engine["prefill_share"]
            state.expected_pause_s = engine["pause_s"]
            state.expected_pause_at = now
            for part in engine["parts"]:
                if part not in state.parts:
                    prefix_cache.add_part(
                        state, part, self.prompts[part].parts[0][1], MEMORY,
                        now)

    def arrive(self, name):
        """Feed a request of a class; return its key and the effects."""
        self.keys += 1
        return self.keys, self.driver.arrive(
            self.keys, path=f"/{name}/1", prompt=self.prompts[name],
            rid=f"r{self.keys}", deadline_s=self.routes[name].timeout_s)

    def is_refused(self, name):
        """Return whether a request of a class gets no engine in its time."""
        key, out = self.arrive(name)
        while key in self.driver.timers and not self.is_sent(out):
            self.driver.now = self.driver.timers[key]
            self.apply_loads()
            out = self.driver.feed(events.TimerFired(key))
        return not self.is_sent(out)

    def is_sent(self, out):
        return bool(support.effects_of(out, effects.SendRequest))


class ClassOrderTest(unittest.TestCase):
    """Engines and classes are drawn at random."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=400)
    @hypothesis.given(
        strategies.lists(ENGINE, min_size=1, max_size=4), URGENT, LARGE,
        strategies.sampled_from((0.0, FETCH_TOKEN_S)))
    def test_nothing_larger_begins_as_the_urgent_are_refused(
            self, engines, urgent, large, fetch_token_s):
        # Urgent requests were refused by bounds that go by their own goal,
        # while large ones with a longer goal began at the same engines.
        world = _Engines(engines, urgent, large, fetch_token_s)
        if world.is_refused("urgent"):
            _, out = world.arrive("large")
            self.assertFalse(world.is_sent(out))

    def test_large_requests_begin_where_the_urgent_are_admitted(self):
        idle = {"requests": 0, "prompts": 0, "tokens": 0, "parts": {"large"},
                "prefill_share": 0.0, "pause_s": 0.0, "urgent_streams": 0}
        world = _Engines(
            [idle], {"target_s": 0.3, "gap_s": 0.25, "shared": 170},
            {"priority": 2, "target_s": 2.0, "gap_s": 1.0, "shared": 6_300},
            0.0)
        key, out = world.arrive("urgent")
        self.assertTrue(world.is_sent(out))
        world.driver.feed(events.StreamOpened(key, 0, None))
        self.assertTrue(world.is_sent(world.arrive("large")[1]))


if __name__ == "__main__":
    unittest.main()
