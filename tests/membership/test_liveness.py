"""Whatever a host's membership waits for has a timer."""

import random
import unittest

from bench import membership_figures as figures
from crocuskeel.core.membership import state as states
from tests import liveness

SEEDS = range(8)
TICK = ("members", "tick")


class CheckedFleet(figures.Fleet):
    """A fleet that checks the timers of a host after each event."""

    def __init__(self, *args):
        super().__init__(*args)
        self.pending = {}

    def _execute(self, daemon, effect):
        key = getattr(effect, "key", None)
        if key is not None:
            self.pending.setdefault(daemon.identity.address, set()).add(key)
        super()._execute(daemon, effect)

    def _reduce(self, daemon, event):
        address = daemon.identity.address
        if (type(event) is tuple
                and self._timers.get((address, event[0])) == event[1]):
            self.pending[address].discard(event[0])
        super()._reduce(daemon, event)

    def tell(self, daemon, event):
        super().tell(daemon, event)
        state = daemon.membership
        waiting = {"next period": {TICK}}
        for number, probe in state.probes.items():
            waiting[f"probe of {probe.host}"] = {
                ("members", "direct", number), ("members", "failed", number)}
        for host, member in state.members.items():
            if member.update.status == states.SUSPECT:
                waiting[f"suspect {host}"] = {("members", "declare", host)}
        liveness.check(daemon.identity.host, waiting,
                       self.pending[daemon.identity.address])


class LivenessTest(unittest.TestCase):
    """Hosts are stopped, paused and started again at random."""

    def test_each_probe_and_each_suspect_has_a_timer(self):
        # A suspect without a timer would stay in the list for ever.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                fleet = CheckedFleet(seed)
                fleet.loss = 0.05
                addresses = [fleet.add(f"host-{number}", "domain-0")
                             for number in range(6)]
                for _ in range(25):
                    fleet.run(rng.uniform(0.1, 2.0))
                    address = rng.choice(addresses)
                    if address in fleet.paused:
                        continue
                    if rng.random() < 0.7 and address in fleet.daemons:
                        fleet.pause(address, rng.uniform(0.1, 4.0))
                    elif address in fleet.daemons and len(fleet.daemons) > 2:
                        fleet.stop(address)
                self.assertTrue(fleet.daemons)


if __name__ == "__main__":
    unittest.main()
