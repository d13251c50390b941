"""The three variants of the outage, and the runner."""

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

WARMUP_S = 12.0
DRAIN_S = 320.0
CHECK_INTERVAL_S = 1.0
LOSSY_S = 6.0
LOAD_SHARE = 0.5
DISCONNECT_SHARE = 0.05
SLOTS = {"engine": 8, "plain": 16}
VARIANTS = ("alone", "restarts", "lost-answers")


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The parameters of a run; times in virtual seconds.

    ``load_share`` is the load as a share of the capacity. ``pause_s`` is
    how long an owner of ledger slots is paused in ``lost-answers``;
    ``disconnect_share`` is the share of callers' connections that break.
    """

    deployment: str
    variant: str
    seed: int = 1
    before_s: float = 60.0
    outage_s: float = 600.0
    after_s: float = 60.0
    load_share: float = LOAD_SHARE
    pause_s: float = 4.0
    disconnect_share: float = DISCONNECT_SHARE

    @property
    def begins_at(self):
        """Return when the outage begins."""
        return WARMUP_S + self.before_s

    @property
    def ends_at(self):
        """Return when the outage ends."""
        return self.begins_at + self.outage_s


@dataclasses.dataclass(slots=True)
class Run:
    """A completed run."""

    plan: Plan
    world: worlds.World
    calls: list
    hosts: int


def run(plan):
    """Run a plan; return its :class:`Run`."""
    deployment = loads.load_deployment(plan.deployment)
    clock = clocks.new_clock()
    world = worlds.new_world(
        deployment, clock, _new_servers(deployment, clock), plan.seed)
    world.recovery_from = plan.ends_at
    world.disconnect_share = plan.disconnect_share
    calls = _schedule_calls(world, deployment, plan)
    _schedule_outage(world, plan)
    _schedule_commits(world, plan)
    _SCHEDULERS[plan.variant](world, plan)
    worlds.sample_generations(world)
    clocks.run(clock, plan.ends_at + plan.after_s, lambda: False)
    clocks.run(clock, plan.ends_at + plan.after_s + DRAIN_S,
               _completion_check(clock, calls))
    return Run(plan, world, calls, deployment.hosts)


def _completion_check(clock, calls):
    last_check = {"at": clock.now}

    def is_done():
        if clock.now - last_check["at"] < CHECK_INTERVAL_S:
            return False
        last_check["at"] = clock.now
        return all(map(callers.is_finished, calls))

    return is_done


def _new_servers(deployment, clock):
    servers = {}
    for service, count in deployment.servers.items():
        kind = conf.find_service(deployment.tree, service).kind
        for number in range(count):
            name = f"{service}-{number}"
            domain = deployment.domains[number % len(deployment.domains)]
            servers[name] = engines.new_engine(
                name, service, domain, kind, SLOTS[kind], clock)
    return servers


def _schedule_calls(world, deployment, plan):
    seconds = plan.before_s + plan.outage_s + plan.after_s
    calls = loads.arrivals(
        deployment, lambda *_: plan.load_share, plan.seed, seconds)
    for call in calls:
        call.arrived_at += WARMUP_S
        call.driver_data = callers.new_caller()
        clocks.call_later(
            world.fleet.clock, call.arrived_at, callers.send, world, call)
    return calls


def _schedule_outage(world, plan):
    clock = world.fleet.clock
    down_at = plan.begins_at
    if plan.variant == "lost-answers":
        clocks.call_later(clock, down_at, stores.set_mode, world.store,
                          stores.LOSSY)
        down_at += LOSSY_S
    clocks.call_later(
        clock, down_at, stores.set_mode, world.store, stores.DOWN)
    clocks.call_later(clock, plan.ends_at, stores.set_mode, world.store,
                      stores.HEALTHY)


def _schedule_commits(world, plan):
    # One batch is committed right before the outage and one after it.
    clock = world.fleet.clock
    path = ("classes", "outage-probe-%d", "service")
    service = next(iter(world.fleet.servers.values())).service
    for number, at in enumerate((plan.begins_at - 1.0,
                                 plan.ends_at + 2.0)):
        edit = conf.Edit((path[0], path[1] % number, path[2]), service)
        clocks.call_later(clock, at, worlds.commit, world, [edit])


def _schedule_nothing(world, plan):
    pass


def _schedule_restarts(world, plan):
    clock = world.fleet.clock
    for number, host in enumerate(list(world.fleet.nodes)[1:3]):
        at = plan.begins_at + plan.outage_s * (0.2 + 0.3 * number)
        clocks.call_later(clock, at, worlds.kill_host, world, host)
        clocks.call_later(
            clock, at + 0.1 * plan.outage_s, worlds.restart_host, world, host)


def _schedule_pause(world, plan):
    host = list(world.fleet.nodes)[2]
    clocks.call_later(world.fleet.clock, plan.begins_at + 0.5,
                      pauses.pause_at_next_write, world, host, plan.pause_s)


_SCHEDULERS = {"alone": _schedule_nothing, "restarts": _schedule_restarts,
               "lost-answers": _schedule_pause}
