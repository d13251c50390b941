"""The course of a run: load, faults and planned work, then the recovery."""

from tools.soak import checks
from tools.soak import cloud as clouds
from tools.soak import faults
from tools.soak import rejoin_checks
from tools.soak import stop_checks
from twisted.internet import defer

__all__ = ["run_soak"]

# Hosts take a second to start, on a busy machine a few.
START_TIMEOUT_S = 30.0
FAULT_INTERVAL_S = 1.0
PLAN_INTERVAL_S = 1.5
# All faults have ended this long after the last one began, s.
FAULTS_OVER_S = 13.0
RECOVERY_REQUESTS = 40
SEND_INTERVAL_S = 0.025


async def run_soak(soak, seconds):
    """Run load and faults for some seconds, then check the recovery."""
    clock = soak.reactor.seconds
    soak.begin()
    defer.Deferred.fromCoroutine(soak.resolve())
    start_deadline = clock() + START_TIMEOUT_S
    min_known = min(5, len(soak.fleet.ips))
    while len(soak.known_ips) < min_known and clock() < start_deadline:
        await soak.sleep(0.1)
    soak.began_at = clock()
    ends = clock() + seconds
    next_fault = clock() + FAULT_INTERVAL_S
    next_plan = clock() + PLAN_INTERVAL_S
    while clock() < ends:
        soak.send()
        if clock() >= next_fault:
            next_fault += FAULT_INTERVAL_S
            faults.inject_fault(soak)
        if clock() >= next_plan:
            next_plan += PLAN_INTERVAL_S
            faults.do_planned_work(soak)
        await soak.sleep(SEND_INTERVAL_S / soak.load_factor)
    if soak.stops:
        soak.stops.is_loaded = False
    await _check_recovery(soak, ends + FAULTS_OVER_S)
    soak.violations += checks.check_run(soak.record)
    if soak.rejoins:
        soak.violations += rejoin_checks.check_rejoined(
            soak.record, len(soak.engine_versions) == 1)
    soak.violations += stop_checks.check_logs(soak.record, soak.fleet.logs())
    soak.violations += clouds.faults_of_one(
        soak.cloud.arrivals, checks.LEASE_S)
    if not any(each.at >= ends for each in soak.cloud.arrivals):
        soak.violations.append(
            "no host performs the duties at the end of the run")


async def _send_last(soak):
    soak.unfinished += 1
    soak.recovery_replies.append(await soak.send_to(
        soak.rng.choice(soak.known_ips or soak.fleet.ips),
        soak.draw_request()))


async def _check_recovery(soak, faults_end_at):
    """Send the last requests once all faults have ended."""
    while (soak.reactor.seconds() < faults_end_at or soak.unfinished
           or soak.stopping):
        await soak.sleep(0.2)
    for _ in range(RECOVERY_REQUESTS):
        ending = defer.Deferred.fromCoroutine(_send_last(soak))
        if soak.stops:
            # Their streams last too long to follow each other.
            ending.addErrback(soak.record_failure)
            await soak.sleep(SEND_INTERVAL_S)
        else:
            await ending
    while soak.unfinished:
        await soak.sleep(0.2)
    counted = [reply for reply in soak.recovery_replies
               if not reply.abandoned and reply.status != checks.NOT_FOUND]
    soak.violations += checks.check_recovery(counted)
