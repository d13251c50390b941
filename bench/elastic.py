"""Ways to order engines, on a model of engines that boot and go.

Work arrives as engines' worth, from bursts that a seed draws; engines
serve a boot time after their order, spot ones of a failure domain go at
once, with none to be had for a while. Prints, for each way, what engines
cost and what share of the work came to nothing, as a mean over seeds,
and of the first ten seconds of bursts alone.

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

__all__ = ["Burst", "Day", "Platform", "Result", "WAYS", "draw", "main",
           "play"]

STEP_S = 0.1
SERVICE = "engines"
POLICY = capacity.Policy()
DOMAINS = ("a", "b", "c")
START = 10
# Work that waits for longer than this comes to nothing, s.
PATIENCE_S = 1.0
BURST_S = 10.0
# What the holder's clock shows when the day begins, s.
CLOCK_S = 1000.0
SCALING = entry_model.Scaling(
    min_engines=1, max_engines=20, boot_s=4.0, spot_price=0.2,
    prices={"a": 0.9, "b": 1.2, "c": 1.0})


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """Work is ``times`` as much from ``at`` on, for ``for_s``."""

    at: float
    for_s: float
    times: float


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """``base`` is the work without bursts, in engines.

    ``reclaims`` holds (at, domain, seconds without any to be had).
    """

    base: float
    bursts: tuple
    reclaims: tuple = ()
    length_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """``cost`` in engines of price 1 over the day; shares of the work."""

    cost: float
    lost: float
    lost_in_bursts: float
    most: int


def draw(seed, base=14.0):
    """Return a day with three bursts and a reclaim in one of them."""
    rng = random.Random(seed)
    bursts = tuple(
        Burst(at + rng.uniform(0, 4), rng.uniform(3, 9),
              rng.uniform(2.0, 3.2)) for at in (6, 22, 40))
    reclaim = (bursts[1].at + rng.uniform(-2, 3), rng.choice(DOMAINS), 9.0)
    return Day(base * rng.uniform(0.6, 1.2), bursts, (reclaim,))


class Platform:
    """Engines by (domain, spot), those that boot, and who asks."""

    def __init__(self):
        self.serving = {(name, False): START for name in DOMAINS}
        self.booting = []
        self.dry_until = -math.inf

    def order(self, call, now):
        """Take an order; return its outcome."""
        key = call.domain, call.spot
        coming = sum(1 for _, each in self.booting if each == key)
        more = call.count - self.serving.get(key, 0) - coming
        if more > 0 and call.spot and now < self.dry_until:
            return model.Outcome.UNAVAILABLE
        for _ in range(more):
            self.booting.append((now + SCALING.boot_s, key))
        if more < 0:
            self.serving[key] = max(
                0, self.serving.get(key, 0) + more)
        return model.Outcome.DONE

    def step(self, now):
        """Have engines serve whose boot time is over."""
        for at, key in [row for row in self.booting if row[0] <= now]:
            self.booting.remove((at, key))
            self.serving[key] = self.serving.get(key, 0) + 1

    def reclaim(self, domain, dry_s, now):
        """Take all spot engines of a domain back."""
        self.serving[domain, True] = 0
        self.booting = [row for row in self.booting if not row[1][1]]
        self.dry_until = now + dry_s

    def price(self):
        """Return what the engines cost a second."""
        return sum(
            count * SCALING.prices[name] * (
                SCALING.spot_price if spot else 1.0)
            for (name, spot), count in self.serving.items())


def by_use(duties, shares, serving, now):
    """Order by the share of their time that engines are in use."""
    ordering.sample(duties, SERVICE, shares, now, POLICY)
    return ordering.due(duties, SERVICE, SCALING, serving, now, POLICY)


def by_slope(duties, shares, serving, now):
    """The same, with what the use grows by in a boot time on top."""
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


def at_most(duties, shares, serving, now):
    """Have as many spot engines as there may be, always."""
    ordering.sample(duties, SERVICE, shares, now, POLICY)
    demand.record_need(duties.demands[SERVICE],
                       len(DOMAINS) * SCALING.max_engines, now)
    return ordering.due(duties, SERVICE, SCALING, serving, now, POLICY)


WAYS = {"no orders": never, "by use": by_use, "use and slope": by_slope,
        "always the most": at_most}


def _load(day, now):
    times = [burst.times for burst in day.bursts
             if burst.at <= now < burst.at + burst.for_s]
    return day.base * max(times, default=1.0)


def _in_burst(day, now):
    return any(burst.at <= now < burst.at + BURST_S for burst in day.bursts)


def play(day, way, begin_s=10.0, trace=None):
    """Play a day after some seconds without work; return its Result.

    ``trace``, if given, gets (time, work, engines, price) of each step.
    """
    platform = Platform()
    duties = states.new_duties(
        leadership.Config("host"), random.Random(1), CLOCK_S)
    waiting = asked = lost = burst_asked = burst_lost = cost = 0.0
    share = 0.0
    most = 0
    reclaims = list(day.reclaims)
    for number in range(round((begin_s + day.length_s) / STEP_S)):
        now = number * STEP_S - begin_s
        platform.step(now + CLOCK_S)
        while reclaims and reclaims[0][0] <= now:
            _, domain, dry_s = reclaims.pop(0)
            platform.reclaim(domain, dry_s, now + CLOCK_S)
        count = sum(platform.serving.values())
        if number % 3 == 0:
            _order(platform, duties, way, [share] * count, now + CLOCK_S)
        if now < 0:
            continue
        arrived = _load(day, now) * STEP_S
        waiting += arrived
        served = min(waiting, count * STEP_S)
        share = served / max(STEP_S, count * STEP_S)
        gone = max(0.0, waiting - served - count * PATIENCE_S)
        waiting -= served + gone
        asked, lost = asked + arrived, lost + gone
        if _in_burst(day, now):
            burst_asked += arrived
            burst_lost += gone
        cost += platform.price() * STEP_S
        if trace is not None:
            trace.append((now, _load(day, now), count, platform.price()))
        most = max(most, count)
    return Result(cost / day.length_s, lost / asked,
                  burst_lost / max(burst_asked, STEP_S), most)


def _order(platform, duties, way, shares, now):
    serving = {key: count for key, count in platform.serving.items()
               if count}
    for call in way(duties, shares, serving, now):
        known = states.DutyCall(call)
        duties.calls[call.subject] = known
        ordering.answered(duties, known, platform.order(call, now), now)


def look_us(engines, rounds=200):
    """Return the processor time of one look at so many engines, us."""
    duties = states.new_duties(
        leadership.Config("host"), random.Random(1), CLOCK_S)
    serving = {(name, True): engines // len(DOMAINS) for name in DOMAINS}
    shares = [0.3] * engines
    begun = time.process_time()
    for number in range(rounds):
        by_use(duties, shares, serving, CLOCK_S + 0.3 * number)
    return (time.process_time() - begun) / rounds * 1e6


def draw_plot(path, seed=3, base=12.0):
    """Draw engines and their price over one drawn day into a file."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(
        2, 1, sharex=True, figsize=(8, 5))
    for name, way in WAYS.items():
        trace = []
        play(draw(seed, base), way, trace=trace)
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
    """Print a line a way and size of work."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--plot", metavar="FILE",
                        help="draw one day into a PNG file, too")
    parser.add_argument("--look", action="store_true",
                        help="print the time of one look, too")
    args = parser.parse_args(argv)
    if args.plot:
        draw_plot(args.plot)
    if args.look:
        for engines in (30, 120, 1700):
            print(f"a look at {engines} engines: "
                  f"{look_us(engines):.0f} us")
    print(
        f"planned use {capacity.USE_SHARE}, kept {demand.PEAK_KEPT_S:.0f} s, "
        "20 days each")
    print("| Work, engines | Way | Cost | Lost | Lost in bursts | Most |")
    print("| --- | --- | --- | --- | --- | --- |")
    for base in (4.0, 9.0, 14.0):
        days = [draw(seed, base) for seed in range(20)]
        for name, way in WAYS.items():
            found = [play(day, way) for day in days]
            row = [statistics.fmean(getattr(each, field) for each in found)
                   for field in ("cost", "lost", "lost_in_bursts", "most")]
            print("| {} | {} | {:.1f} | {:.3f} | {:.3f} | {:.0f} |".format(
                base, name, *row))


if __name__ == "__main__":
    main()
