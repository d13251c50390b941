"""The drive from start to verdict."""

from twisted.internet import defer

from tools import demo_fleet
from tools import demo_ready
from tools import demo_settings
from tools.faults import calls
from tools.faults import checks
from tools.faults import fleet as fleets
from tools.faults import load as loads
from tools.faults import records
from tools.faults import sampling
from tools.faults import script

__all__ = ["run"]

READY_S = 20.0
WARM_S = 3.0
STEP_S = 25.0
FINISH_S = 20.0
SETTINGS = "examples/paddlegum.jsonc"


async def run(reactor, args, fleet):
    """Run the whole drive; return the exit code."""
    tree = await _start(reactor, fleet)
    http = calls.new_http(reactor)
    doors = fleets.door_urls(fleet)
    load = loads.new_load(reactor, http, doors, tree, args.rate)
    sampler = sampling.new_sampler(
        reactor, http, doors, load.desks[0].workspace + "-token")
    world = script.World(reactor, http, fleet, load, script.Facts())
    loading = defer.Deferred.fromCoroutine(loads.run(load))
    defer.Deferred.fromCoroutine(sampling.run(sampler))
    await world.sleep(WARM_S)
    await _steps(world, args.only)
    await loads.finish(load, FINISH_S)
    await loading
    sampler.on = False
    runs = await demo_ready.runs(reactor, fleet)
    evidence = checks.Evidence(
        load.asks, runs, sampler.samples, world.facts,
        records.entry_rows(fleet), records.control_rows(fleet))
    return checks.show(evidence)


async def _start(reactor, fleet):
    tree = demo_settings.read_tree(SETTINGS)
    fleets.start_all(fleet)
    await demo_ready.platform_up(reactor, fleet, READY_S)
    await demo_settings.load(
        reactor, fleet.platform_url, demo_fleet.PLATFORM_TOKEN, tree)
    await demo_ready.entries_up(reactor, fleet, READY_S)
    return tree


async def _steps(world, only):
    names = only.split(",") if only else script.STEPS
    for name in names:
        began = world.reactor.seconds()
        fut = defer.Deferred.fromCoroutine(script.STEPS[name](world))
        fut.addTimeout(STEP_S, world.reactor)
        try:
            await fut
            word = "done"
        except Exception as exc:
            word = f"broke: {exc!r}"
        span = world.reactor.seconds() - began
        world.facts.steps.append((name, began, word))
        print(f"  {name:8} {span:5.1f} s  {word}", flush=True)
    await script.settle(world)
