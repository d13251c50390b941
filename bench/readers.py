"""Calls to the store by the number of entry hosts, in calm and after losses.

The hosts' own decisions on a virtual clock, before a store that counts its
calls. Prints one JSON object a line: hosts, readers and calls a second in
calm, seconds until a configuration is in force at all, and the same after
all readers lost power at once.

Run as ``python -m bench.readers``.
"""

import json

from bench import hosts

# Large and small hosts of a fleet.
FLEETS = ((9, 21), (15, 85), (15, 180), (36, 434))
SETTLED_S = 5.0
CALM_S = 5.0
# How long a change may take to be in force, s.
PATIENCE_S = 10.0


def _in_force_s(world):
    """Write a configuration; return when all hosts have it, s."""
    began = world.now
    world.configure()
    while world.behind() and world.now < began + PATIENCE_S:
        world.run(hosts.STEP_S)
    return round(world.now - began, 2)


def measure(large, small):
    """Return the figures of one fleet as a dict."""
    world = hosts.new_world(large, small)
    world.run(SETTLED_S)
    calls = world.calls
    readers = len(world.readers())
    world.run(CALM_S)
    calm = (world.calls - calls) / CALM_S
    told_s = _in_force_s(world)
    world.stop(world.readers())
    return {"hosts": large + small, "readers": readers,
            "calls_a_second": round(calm, 1), "in_force_s": told_s,
            "in_force_after_loss_s": _in_force_s(world)}


def main():
    """Print the figures of all fleets."""
    for large, small in FLEETS:
        print(json.dumps(measure(large, small)), flush=True)


if __name__ == "__main__":
    main()
