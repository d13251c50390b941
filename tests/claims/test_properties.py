"""Property tests of claims under any order of faults."""

import unittest

import hypothesis
from hypothesis import strategies as st

from tests.claims import simulation as simulations

KEYS = 3
OWNER = st.integers(0, 1)
PICK = st.integers(0, 5)
MODE = st.sampled_from(["well", "well", "lost", "late", "dropped", "out"])

STEP = st.one_of(
    st.tuples(st.just("ask"), st.integers(0, KEYS - 1), OWNER),
    st.tuples(st.just("look"), st.integers(0, KEYS - 1), OWNER),
    st.tuples(st.just("reask"), PICK, OWNER),
    st.tuples(st.just("give_up"), PICK, OWNER),
    st.tuples(st.just("end"), PICK, OWNER, st.booleans()),
    st.tuples(st.just("answer"), MODE, PICK),
    st.tuples(st.just("answer"), MODE, PICK),
    st.tuples(st.just("land"), PICK),
    st.tuples(st.just("pause"), OWNER, st.booleans()),
    st.tuples(st.just("restart"), OWNER),
    st.tuples(st.just("advance"), st.sampled_from([0.1, 0.5, 2.0])),
)


def run_step(sim, step, issue_times):
    """Run one step in ``sim``."""
    name, *args = step
    attempts = list(sim.attempts.values())
    if name == "ask":
        sim.request_claim(f"k{args[0]}", args[1],
                          issued_at=issue_times[args[0]])
    elif name == "look":
        sim.lookup(f"k{args[0]}", args[1],
                   issued_at=issue_times[args[0]])
    elif name in ("answer", "land", "pause", "restart", "advance"):
        getattr(sim, name)(*args)
    elif attempts:
        attempt = attempts[-1 - args[0] % len(attempts)]
        if name == "reask":
            sim.send_ask(attempt, args[1], deadline_s=1.0)
        elif name == "give_up":
            sim.give_up(attempt, args[1])
        else:
            sim.end(attempt, args[2], args[1])


class AtMostOnceTest(unittest.TestCase):
    """Checks the invariants of models/claims.pml on the reducer."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None,
        max_examples=400)
    @hypothesis.given(
        st.lists(STEP, min_size=20, max_size=60),
        st.lists(st.floats(1.0, 50.0), min_size=KEYS, max_size=KEYS))
    def test_any_order_of_faults(self, steps, issue_times):
        """A key must run at most once under any order of faults.

        Entry hosts resend one key through two owners of its slot; owners
        pause, restart and lose answers; writes are applied late; entries
        are dropped by age. A key runs twice if a claim is granted
        without being recorded, or if a key is freed or dropped while its
        attempt may run.
        """
        sim = simulations.Simulation(
            epoch_s=0.5, kept_epochs=1, commits_per_s=10.0)
        for step in steps:
            run_step(sim, step, issue_times)
            self.check(sim)
        sim.run_without_faults()
        for attempt in sim.attempts.values():
            sim.end(attempt, True, 0)
        self.check(sim)
        self.check_answered(sim)

    def check(self, sim):
        """Check that a key runs at most once; ``over`` attempts never run."""
        started = [
            each for each in sim.attempts.values()
            if each.state in ("started", "ran")]
        keys = [each.key for each in started]
        self.assertEqual(len(set(keys)), len(keys), started)

    def check_answered(self, sim):
        """Check that nothing is pending after a time without faults."""
        for owner in sim.owners:
            for slot in owner.state.slots.values():
                self.assertEqual({}, slot.requests)
                self.assertEqual({}, slot.lookups)
                self.assertIsNone(slot.in_doubt_version)
