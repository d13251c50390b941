"""Figures of the control daemon's reducer: processor time by engines.

Prints one JSON object a line: name, value, unit, n (engines). Virtual
clock, fakes of store and engines; HTTP is not in it.

Run as ``python -m bench.control_figures``.
"""

import json
import time

from tests.control import world as worlds

ENGINES = (170, 850, 1700)
SERVICES = 7
DOMAINS = "abcdefgh"
SETTLE_S = 25
SPAN_S = 60


def _world(count):
    world = worlds.World(count=0)
    for number in range(count):
        domain = DOMAINS[number * len(DOMAINS) // count]
        world.add_engine(f"e{number}", f"s{number % SERVICES}", domain,
                         True)
    _want(world, "m:1")
    world.run(SETTLE_S, "x")
    return world


def _want(world, model):
    for number in range(SERVICES):
        world.want(f"s{number}", model)


def _spent(world):
    before = time.process_time()
    world.run(SPAN_S, "x")
    return time.process_time() - before


def emit(name, value, unit, n):
    """Print one figure."""
    print(json.dumps({"name": name, "value": round(value, 4),
                      "unit": unit, "n": n}), flush=True)


def main():
    """Measure an idle holder and one in the middle of a rollout."""
    for count in ENGINES:
        world = _world(count)
        emit("control_cpu_idle", _spent(world) / SPAN_S * 100,
             "% of a core", count)
        _want(world, "m:2")
        emit("control_cpu_rollout", _spent(world) / SPAN_S * 100,
             "% of a core", count)


if __name__ == "__main__":
    main()
