"""Runs the whole fault drive."""

from twisted.internet import defer

from tools import demo_fleet
from tools import demo_ready
from tools import demo_settings
from tools.faults import checks
from tools.faults import event_logs
from tools.faults import fleet as fleets
from tools.faults import http_client
from tools.faults import load as loads
from tools.faults import sampling
from tools.faults import script

__all__ = ["run"]

READY_TIMEOUT_S = 20.0
WARM_UP_S = 3.0
STEP_TIMEOUT_S = 25.0
FINISH_TIMEOUT_S = 20.0
SETTINGS = "examples/paddlegum.jsonc"


async def run(reactor, args, fleet):
    """Run the fault drive; return the exit code."""
    tree = await _start(reactor, fleet)
    http = http_client.new_http(reactor)
    entry_urls = fleets.entry_urls(fleet)
    generator = loads.new_generator(reactor, http, entry_urls, tree, args.rate)
    sampler = sampling.new_sampler(
        reactor, http, entry_urls, generator.callers[0].workspace + "-token")
    env = script.Environment(
        reactor, http, fleet, generator, script.Observations())
    load_done = defer.Deferred.fromCoroutine(loads.run(generator))
    defer.Deferred.fromCoroutine(sampling.run(sampler))
    await env.sleep(WARM_UP_S)
    await _run_steps(env, args.only)
    await loads.wait_for_verdicts(generator, FINISH_TIMEOUT_S)
    await load_done
    sampler.running = False
    runs = await demo_ready.read_run_counts(reactor, fleet)
    results = checks.Results(
        generator.requests, runs, sampler.samples, env.observations,
        event_logs.entry_events(fleet), event_logs.control_events(fleet))
    return checks.print_report(results)


async def _start(reactor, fleet):
    tree = demo_settings.read_tree(SETTINGS)
    fleets.start_all(fleet)
    await demo_ready.platform_up(reactor, fleet, READY_TIMEOUT_S)
    await demo_settings.load(
        reactor, fleet.platform_url, demo_fleet.PLATFORM_TOKEN, tree)
    await demo_ready.entries_up(reactor, fleet, READY_TIMEOUT_S)
    return tree


async def _run_steps(env, only):
    names = only.split(",") if only else script.STEPS
    for name in names:
        started_at = env.reactor.seconds()
        deferred = defer.Deferred.fromCoroutine(script.STEPS[name](env))
        deferred.addTimeout(STEP_TIMEOUT_S, env.reactor)
        try:
            await deferred
            status = "done"
        except Exception as exc:
            status = f"failed: {exc!r}"
        duration_s = env.reactor.seconds() - started_at
        env.observations.steps.append((name, started_at, status))
        print(f"  {name:8} {duration_s:5.1f} s  {status}", flush=True)
    await script.wait_for_background(env)
