"""Figures of the control program's reducer: CPU time by engine count.

Prints one JSON object per figure: name, value, unit, n (engines). Uses a
virtual clock and fakes of the store and the engines; HTTP is excluded.

Run as ``python -m bench.control_figures``.
"""

import json
import time

from tests.control import simulation as simulations

ENGINES = (170, 850, 1700)
SERVICES = 7
DOMAINS = "abcdefgh"
SETTLE_S = 25
MEASURE_S = 60


def _new_simulation(count):
    sim = simulations.Simulation(count=0)
    for number in range(count):
        domain = DOMAINS[number * len(DOMAINS) // count]
        sim.add_engine(f"e{number}", f"s{number % SERVICES}", domain,
                       True)
    _set_model(sim, "m:1")
    sim.run(SETTLE_S, "x")
    return sim


def _set_model(sim, model):
    for number in range(SERVICES):
        sim.set_desired_model(f"s{number}", model)


def _measure_cpu_s(sim):
    before = time.process_time()
    sim.run(MEASURE_S, "x")
    return time.process_time() - before


def emit(name, value, unit, n):
    """Print one figure."""
    print(json.dumps({"name": name, "value": round(value, 4),
                      "unit": unit, "n": n}), flush=True)


def main():
    """Measure a lease holder while idle and during a rollout."""
    for count in ENGINES:
        sim = _new_simulation(count)
        emit("control_cpu_idle", _measure_cpu_s(sim) / MEASURE_S * 100,
             "% of a core", count)
        _set_model(sim, "m:2")
        emit("control_cpu_rollout", _measure_cpu_s(sim) / MEASURE_S * 100,
             "% of a core", count)


if __name__ == "__main__":
    main()
