"""Strategies for ordering engines, on a model of an elastic engine fleet.

Work is measured in engines and arrives with bursts drawn from a seed.
Engines serve a boot time after their order. All spot engines of a failure
domain are reclaimed at once, and none are available for a while after it.
Prints, for each strategy, the cost of engines and the share of work that
was lost, as means over seeds, and that share in the first ten seconds of
bursts.

    python -m bench.elastic
"""

import argparse
import dataclasses
import math
import random
import statistics
import time

from crocuskeel.core.duties import capacity
from crocuskeel.core.duties import demand
from crocuskeel.core.duties import model
from crocuskeel.core.duties import ordering
from crocuskeel.core.duties import state as states
from crocuskeel.core.entry import model as entry_model
from crocuskeel.core import leadership

__all__ = ["Burst", "Day", "Platform", "Result", "STRATEGIES", "draw_day",
           "main", "play"]

STEP_S = 0.1
SERVICE = "engines"
POLICY = capacity.Policy()
DOMAINS = ("a", "b", "c")
INITIAL_ENGINES = 10
# Work that waits for longer than this is lost, s.
MAX_WAIT_S = 1.0
BURST_S = 10.0
# The holder's clock at the start of the day, s.
CLOCK_OFFSET_S = 1000.0
SCALING = entry_model.Scaling(
    min_engines=1, max_engines=20, boot_s=4.0, spot_price=0.2,
    prices={"a": 0.9, "b": 1.2, "c": 1.0})


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """The load is multiplied by ``times`` from ``at`` on, for ``for_s``."""

    at: float
    for_s: float
    times: float


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """``base`` is the load without bursts, in engines.

    ``reclaims`` holds (at, domain, seconds without available spot engines).
    """

    base: float
    bursts: tuple
    reclaims: tuple = ()
    length_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Mean ``cost`` in engines of price 1, lost shares, most engines."""

    cost: float
    lost: float
    lost_in_bursts: float
    most: int


def draw_day(seed, base=14.0):
    """Return a random day with three bursts and a reclaim near the second."""
    rng = random.Random(seed)
    bursts = tuple(
        Burst(at + rng.uniform(0, 4), rng.uniform(3, 9),
              rng.uniform(2.0, 3.2)) for at in (6, 22, 40))
    reclaim = (bursts[1].at + rng.uniform(-2, 3), rng.choice(DOMAINS), 9.0)
    return Day(base * rng.uniform(0.6, 1.2), bursts, (reclaim,))


class Platform:
    """Serving engines by (domain, spot), and those that are booting."""

    def __init__(self):
        self.serving = {(name, False): INITIAL_ENGINES for name in DOMAINS}
        self.booting = []
        self.spot_unavailable_until = -math.inf

    def order(self, call, now):
        """Execute an order; return its outcome."""
        key = call.domain, call.spot
        booting_count = sum(1 for _, other in self.booting if other == key)
        missing = call.count - self.serving.get(key, 0) - booting_count
        if missing > 0 and call.spot and now < self.spot_unavailable_until:
            return model.Outcome.UNAVAILABLE
        for _ in range(missing):
            self.booting.append((now + SCALING.boot_s, key))
        if missing < 0:
            self.serving[key] = max(
                0, self.serving.get(key, 0) + missing)
        return model.Outcome.DONE

    def step(self, now):
        """Let engines serve whose boot time is over."""
        for at, key in [row for row in self.booting if row[0] <= now]:
            self.booting.remove((at, key))
            self.serving[key] = self.serving.get(key, 0) + 1

    def reclaim(self, domain, unavailable_s, now):
        """Reclaim all spot engines of a domain."""
        self.serving[domain, True] = 0
        self.booting = [row for row in self.booting if not row[1][1]]
        self.spot_unavailable_until = now + unavailable_s

    def price(self):
        """Return the cost of the serving engines per second."""
        return sum(
            count * SCALING.prices[name] * (
                SCALING.spot_price if spot else 1.0)
            for (name, spot), count in self.serving.items())


def by_use(duties, shares, serving, now):
    """Order by the utilization of engines."""
    ordering.sample(duties, SERVICE, shares, now, POLICY)
    return ordering.due(duties, SERVICE, SCALING, serving, now, POLICY)


def by_slope(duties, shares, serving, now):
    """Order by the utilization extrapolated by the boot time."""
    used = sum(shares)
    history = duties.offsets.setdefault("used", [])
    history.append((now, used))
    while history[0][0] < now - 1.0:
        history.pop(0)
    growth = max(0.0, used - history[0][1]) * SCALING.boot_s
    ordering.sample(duties, SERVICE, shares, now, POLICY)
    demand.record_need(duties.demands[SERVICE], used + growth, now)
    return ordering.due(duties, SERVICE, SCALING, serving, now, POLICY)


def never(duties, shares, serving, now):
    """Order nothing."""
    return []


def always_max(duties, shares, serving, now):
    """Always order the maximum number of spot engines."""
    ordering.sample(duties, SERVICE, shares, now, POLICY)
    demand.record_need(duties.demands[SERVICE],
                       len(DOMAINS) * SCALING.max_engines, now)
    return ordering.due(duties, SERVICE, SCALING, serving, now, POLICY)


STRATEGIES = {"no orders": never, "by use": by_use, "use and slope": by_slope,
              "always the most": always_max}


def _load(day, now):
    times = [burst.times for burst in day.bursts
             if burst.at <= now < burst.at + burst.for_s]
    return day.base * max(times, default=1.0)


def _in_burst(day, now):
    return any(burst.at <= now < burst.at + BURST_S for burst in day.bursts)


def play(day, strategy, begin_s=10.0, trace=None):
    """Simulate a day after some seconds without load; return its Result.

    ``trace``, if given, gets (time, work, engines, price) of each step.
    """
    platform = Platform()
    duties = states.new_duties(
        leadership.Config("host"), random.Random(1), CLOCK_OFFSET_S)
    waiting = offered = lost = burst_offered = burst_lost = cost = 0.0
    share = 0.0
    most = 0
    reclaims = list(day.reclaims)
    for number in range(round((begin_s + day.length_s) / STEP_S)):
        now = number * STEP_S - begin_s
        platform.step(now + CLOCK_OFFSET_S)
        while reclaims and reclaims[0][0] <= now:
            _, domain, unavailable_s = reclaims.pop(0)
            platform.reclaim(domain, unavailable_s, now + CLOCK_OFFSET_S)
        count = sum(platform.serving.values())
        if number % 3 == 0:
            _place_orders(platform, duties, strategy, [share] * count,
                          now + CLOCK_OFFSET_S)
        if now < 0:
            continue
        arrived = _load(day, now) * STEP_S
        waiting += arrived
        served = min(waiting, count * STEP_S)
        share = served / max(STEP_S, count * STEP_S)
        dropped = max(0.0, waiting - served - count * MAX_WAIT_S)
        waiting -= served + dropped
        offered, lost = offered + arrived, lost + dropped
        if _in_burst(day, now):
            burst_offered += arrived
            burst_lost += dropped
        cost += platform.price() * STEP_S
        if trace is not None:
            trace.append((now, _load(day, now), count, platform.price()))
        most = max(most, count)
    return Result(cost / day.length_s, lost / offered,
                  burst_lost / max(burst_offered, STEP_S), most)


def _place_orders(platform, duties, strategy, shares, now):
    serving = {key: count for key, count in platform.serving.items()
               if count}
    for call in strategy(duties, shares, serving, now):
        duty_call = states.DutyCall(call)
        duties.calls[call.subject] = duty_call
        ordering.answered(duties, duty_call, platform.order(call, now), now)


def evaluation_us(engines, rounds=200):
    """Return the CPU time of evaluating orders for so many engines, us."""
    duties = states.new_duties(
        leadership.Config("host"), random.Random(1), CLOCK_OFFSET_S)
    serving = {(name, True): engines // len(DOMAINS) for name in DOMAINS}
    shares = [0.3] * engines
    began = time.process_time()
    for number in range(rounds):
        by_use(duties, shares, serving, CLOCK_OFFSET_S + 0.3 * number)
    return (time.process_time() - began) / rounds * 1e6


def draw_plot(path, seed=3, base=12.0):
    """Plot engines and their price over one random day to a file."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(
        2, 1, sharex=True, figsize=(8, 5))
    for name, strategy in STRATEGIES.items():
        trace = []
        play(draw_day(seed, base), strategy, trace=trace)
        times, work, engines, price = zip(*trace)
        upper.plot(times, engines, label=name)
        lower.plot(times, price, label=name)
    upper.plot(times, work, "k:", label="work")
    upper.set_ylabel("engines that serve")
    lower.set_ylabel("price, in regular engines")
    lower.set_xlabel("s")
    upper.legend(fontsize="small", ncols=3)
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def main(argv=None):
    """Print a table row for each strategy and base load."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--plot", metavar="FILE",
                        help="also plot one day to a PNG file")
    parser.add_argument("--look", action="store_true",
                        help="also print the CPU time of an evaluation")
    args = parser.parse_args(argv)
    if args.plot:
        draw_plot(args.plot)
    if args.look:
        for engines in (30, 120, 1700):
            print(f"evaluation for {engines} engines: "
                  f"{evaluation_us(engines):.0f} us")
    print(
        f"planned use {capacity.USE_SHARE}, kept {demand.PEAK_KEPT_S:.0f} s, "
        "20 days each")
    print("| Load, engines | Strategy | Cost | Lost | Lost in bursts | Most |")
    print("| --- | --- | --- | --- | --- | --- |")
    for base in (4.0, 9.0, 14.0):
        days = [draw_day(seed, base) for seed in range(20)]
        for name, strategy in STRATEGIES.items():
            results = [play(day, strategy) for day in days]
            row = [statistics.fmean(getattr(result, field)
                                    for result in results)
                   for field in ("cost", "lost", "lost_in_bursts", "most")]
            print("| {} | {} | {:.1f} | {:.3f} | {:.3f} | {:.0f} |".format(
                base, name, *row))


if __name__ == "__main__":
    main()
