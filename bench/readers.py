"""Store calls by the number of entry hosts, in steady state and after loss.

Runs the hosts' reducers on a virtual clock with a store that counts its
calls. Prints one JSON object a line: hosts, readers and calls a second in
steady state, seconds until a configuration is in force at all hosts, and
the same after all readers lost power at once.

Run as ``python -m bench.readers``.
"""

import json

from bench import hosts

# Numbers of large and small hosts.
FLEET_SIZES = ((9, 21), (15, 85), (15, 180), (36, 434))
WARM_UP_S = 5.0
STEADY_S = 5.0
# Time limit for a configuration to be in force, s.
MAX_PROPAGATION_S = 10.0


def _in_force_s(world):
    """Write a configuration; return the time until all hosts have it, s."""
    began = world.now
    world.configure()
    while world.behind() and world.now < began + MAX_PROPAGATION_S:
        world.run(hosts.STEP_S)
    return round(world.now - began, 2)


def measure(large, small):
    """Return the figures of one fleet as a dict."""
    world = hosts.new_world(large, small)
    world.run(WARM_UP_S)
    calls = world.calls
    readers = len(world.readers())
    world.run(STEADY_S)
    calls_per_s = (world.calls - calls) / STEADY_S
    in_force_s = _in_force_s(world)
    world.stop(world.readers())
    return {"hosts": large + small, "readers": readers,
            "calls_a_second": round(calls_per_s, 1), "in_force_s": in_force_s,
            "in_force_after_loss_s": _in_force_s(world)}


def main():
    """Print the figures of all fleets."""
    for large, small in FLEET_SIZES:
        print(json.dumps(measure(large, small)), flush=True)


if __name__ == "__main__":
    main()
