"""The three variants of the outage and how one is run."""

import dataclasses

from bench.outage import callers
from bench.outage import pauses
from bench.outage import store as stores
from bench.outage import world as worlds
from bench.policy import clock as clocks
from bench.policy import engine as engines
from bench.policy import load as loads
from crocuskeel import conf

__all__ = ["Plan", "Run", "VARIANTS", "run"]

START_S = 12.0
DRAIN_S = 320.0
CHECK_S = 1.0
LOSSY_S = 6.0
LEVEL = 0.5
CUT_SHARE = 0.05
SLOTS = {"engine": 8, "plain": 16}
VARIANTS = ("alone", "restarts", "lost-answers")


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What is run; spans in virtual seconds.

    ``level`` is the load as a share of the capacity. ``pause_s`` is how
    long an owner of ledger slots sleeps in ``lost-answers``,
    ``cut_share`` the share of callers' connections that break.
    """

    deployment: str
    variant: str
    seed: int = 1
    before_s: float = 60.0
    outage_s: float = 600.0
    after_s: float = 60.0
    level: float = LEVEL
    pause_s: float = 4.0
    cut_share: float = CUT_SHARE

    @property
    def begins_at(self):
        """Return when the outage begins."""
        return START_S + self.before_s

    @property
    def ends_at(self):
        """Return when the outage ends."""
        return self.begins_at + self.outage_s


@dataclasses.dataclass(slots=True)
class Run:
    """A run that is over."""

    plan: Plan
    world: worlds.World
    calls: list
    hosts: int


def run(plan):
    """Run a plan; return its :class:`Run`."""
    deployment = loads.load(plan.deployment)
    clock = clocks.new_clock()
    world = worlds.new_world(
        deployment, clock, _servers(deployment, clock), plan.seed)
    world.since = plan.ends_at
    world.cut_share = plan.cut_share
    calls = _calls(world, deployment, plan)
    _outage(world, plan)
    _settings(world, plan)
    _VARIANT[plan.variant](world, plan)
    worlds.watch_hosts(world)
    clocks.run(clock, plan.ends_at + plan.after_s, lambda: False)
    clocks.run(clock, plan.ends_at + plan.after_s + DRAIN_S,
               _all_over(clock, calls))
    return Run(plan, world, calls, deployment.hosts)


def _all_over(clock, calls):
    looked = {"at": clock.now}

    def is_over():
        if clock.now - looked["at"] < CHECK_S:
            return False
        looked["at"] = clock.now
        return all(map(callers.is_over, calls))

    return is_over


def _servers(deployment, clock):
    out = {}
    for service, count in deployment.servers.items():
        kind = conf.service(deployment.tree, service).kind
        for number in range(count):
            name = f"{service}-{number}"
            domain = deployment.domains[number % len(deployment.domains)]
            out[name] = engines.new_engine(
                name, service, domain, kind, SLOTS[kind], clock)
    return out


def _calls(world, deployment, plan):
    seconds = plan.before_s + plan.outage_s + plan.after_s
    calls = loads.arrivals(
        deployment, lambda *_: plan.level, plan.seed, seconds)
    for call in calls:
        call.at += START_S
        call.extra = callers.new_caller()
        clocks.at(world.fleet.clock, call.at, callers.send, world, call)
    return calls


def _outage(world, plan):
    clock = world.fleet.clock
    down_at = plan.begins_at
    if plan.variant == "lost-answers":
        clocks.at(clock, down_at, stores.set_mode, world.store,
                  stores.LOSSY)
        down_at += LOSSY_S
    clocks.at(clock, down_at, stores.set_mode, world.store, stores.DOWN)
    clocks.at(clock, plan.ends_at, stores.set_mode, world.store,
              stores.WELL)


def _settings(world, plan):
    # One batch right before the outage and one after it.
    clock = world.fleet.clock
    path = ("classes", "outage-probe-%d", "service")
    service = next(iter(world.fleet.servers.values())).service
    for number, at in enumerate((plan.begins_at - 1.0,
                                 plan.ends_at + 2.0)):
        edit = conf.Edit((path[0], path[1] % number, path[2]), service)
        clocks.at(clock, at, worlds.commit, world, [edit])


def _alone(world, plan):
    pass


def _restarts(world, plan):
    clock = world.fleet.clock
    for number, host in enumerate(list(world.fleet.nodes)[1:3]):
        at = plan.begins_at + plan.outage_s * (0.2 + 0.3 * number)
        clocks.at(clock, at, worlds.kill, world, host)
        clocks.at(clock, at + 0.1 * plan.outage_s, worlds.restart, world,
                  host)


def _lost_answers(world, plan):
    host = list(world.fleet.nodes)[2]
    clocks.at(world.fleet.clock, plan.begins_at + 0.5,
              pauses.at_write, world, host, plan.pause_s)


_VARIANT = {"alone": _alone, "restarts": _restarts,
            "lost-answers": _lost_answers}
