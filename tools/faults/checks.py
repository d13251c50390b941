"""Checks of the guarantees; prints one line for each."""

import collections
import dataclasses

from tools.faults import load as loads
from tools.faults import script
from tools.faults import tier_checks

__all__ = ["Check", "Results", "print_report"]

SETTINGS_DEADLINE_S = 4.0
MAX_POISON_CRASHES = 2
MAX_SHOWN_VIOLATIONS = 5
DRAIN_SLACK_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Results:
    """All that was recorded; ``runs`` are (role, name, counts)."""

    requests: list
    runs: list
    samples: list
    observations: script.Observations
    entry_events: list
    control_events: list


@dataclasses.dataclass(slots=True)
class Check:
    """Number of cases and descriptions of violations of one guarantee."""

    guarantee: str
    cases: int = 0
    violations: list = dataclasses.field(default_factory=list)

    def record(self, passed, detail):
        """Count a case; ``detail`` is kept if it is a violation."""
        self.cases += 1
        if not passed:
            self.violations.append(detail)


def _check_answers(results):
    check = Check("each caller gets the complete answer to its own request")
    for request in results.requests:
        stuck = any(each.result == "stuck" for each in request.attempts)
        if stuck or request.verdict != "refused":
            check.record(request.verdict == "right" and not stuck,
                         request.summary())
    return check


def _runs_by_key(results):
    runs = collections.Counter()
    for role, _name, counts in results.runs:
        runs.update(counts["by_idempotency_key"] if role == "engine"
                    else counts)
    return runs


def _check_not_run(results):
    check = Check("a request that is refused as not run was not run")
    runs = _runs_by_key(results)
    for request in results.requests:
        if (request.verdict != "refused"
                or request.last_attempt.outcome != "not_run"):
            continue
        # A repeatable request may have run for an earlier attempt, if that
        # reported so or broke off.
        earlier = any(each.result in ("cut", "stuck", "failed")
                      or each.outcome in ("ran", "unknown")
                      for each in request.attempts[:-1])
        if request.non_repeatable or not earlier:
            check.record(runs[request.key] == 0,
                         f"{runs[request.key]} runs: {request.summary()}")
    return check


def _check_at_most_one_run(results):
    check = Check("a non-repeatable request runs at most once")
    runs = _runs_by_key(results)
    for request in results.requests:
        if not request.non_repeatable or not request.attempts:
            continue
        count = runs[request.key]
        passed = count == 1 if request.verdict == "right" else count <= 1
        check.record(passed, f"{count} runs: {request.summary()}")
    return check


def _check_draining(results):
    check = Check("a leaving server gets no new work after 3 s")
    for each in results.observations.draining_servers:
        if each.other_runs:
            check.record(each.runs_after == each.runs_before, str(each))
    return check


def _check_planned_stop(results):
    check = Check("a planned stop interrupts no request in progress")
    obs = results.observations
    for request in results.requests:
        for each in request.attempts:
            if _was_in_progress(each, obs):
                check.record(each.result not in ("cut", "failed", "stuck"),
                             f"{each} of {request.key} {request.class_name}")
    if check.cases and obs.drain_exit_code != 0:
        check.violations.append(f"{obs.drained_host}: {obs.drain_exit_code}")
    return check


def _was_in_progress(attempt, obs):
    return (attempt.host == obs.drained_host and attempt.result != "unreached"
            and attempt.started_at < obs.drain_started_at - DRAIN_SLACK_S
            and attempt.ended_at > obs.drain_started_at)


def _check_settings(results):
    check = Check(
        "accepted settings are in force within 4 s and never reverted")
    newest = collections.defaultdict(int)
    for sample in results.samples:
        passed = sample.generation >= newest[sample.host]
        check.record(passed, f"reverted from {newest[sample.host]}: {sample}")
        newest[sample.host] = max(newest[sample.host], sample.generation)
    accepted = results.observations.accepted
    if not accepted or len(accepted) < results.observations.races:
        check.violations.append(f"accepted {accepted}")
    if results.observations.rejected != results.observations.races:
        check.violations.append(
            f"{results.observations.rejected} of "
            f"{results.observations.races} conflicting batches were refused")
    for generation, at in accepted:
        _check_in_force(results, check, generation, at)
    return check


def _check_in_force(results, check, generation, at):
    for host in sorted({sample.host for sample in results.samples}):
        after = [sample for sample in results.samples
                 if sample.host == host
                 and sample.sent_at > at + SETTINGS_DEADLINE_S]
        if after and not _is_down(results.observations, host, at,
                                  after[0].received_at):
            check.record(after[0].generation >= generation,
                         f"{generation} accepted at {at}: {after[0]}")


def _is_down(obs, host, begin, end):
    return any(name == host and since < end and begin < until
               for name, since, until in obs.downtimes)


def _check_poison(results):
    check = Check("one poison request crashes at most 2 engines")
    for prompt in script.POISON_PROMPTS:
        crashes = [name for role, name, counts in results.runs
                   if role == "engine"
                   for key, count in counts["by_idempotency_key"].items()
                   if key.startswith(prompt + "#") for _ in range(count)]
        if crashes:
            check.record(len(crashes) <= MAX_POISON_CRASHES,
                         f"{prompt} crashed {crashes}")
    return check


def _check_fencing(results):
    check = Check(
        "a resumed former holder of the control lease sends no order")
    obs = results.observations
    if not obs.paused_control or not obs.resumed_ts:
        return check
    fence = 0
    for event in results.control_events:
        if event.kind == "lease_acquired":
            fence = max(fence, event.fields["fence"])
        if event.kind == "order_sent":
            check.record(event.fields["fence"] >= fence, str(event))
    takeovers = [event for event in results.control_events
                 if event.kind == "lease_acquired"
                 and event.host != obs.paused_control
                 and event.ts < obs.resumed_ts]
    if not takeovers:
        check.violations.append("no other control program acquired the lease")
    return check


def print_report(results):
    """Print a line per guarantee; return the exit code."""
    checks = [
        tier_checks.check_shedding_order(results, Check),
        tier_checks.check_starvation(results, Check),
        _check_answers(results), _check_not_run(results),
        _check_at_most_one_run(results), _check_draining(results),
        _check_planned_stop(results), _check_settings(results),
        _check_poison(results), _check_fencing(results)]
    _print_traffic(results)
    failed_steps = [step for step in results.observations.steps
                    if step[-1] != "done"]
    for each in checks:
        passed = each.cases and not each.violations
        print(f"{'ok    ' if passed else 'FAILED'} {each.guarantee}: "
              f"{each.cases} cases, {len(each.violations)} violations")
        for detail in each.violations[:MAX_SHOWN_VIOLATIONS]:
            print(f"         {detail}")
    return int(bool(failed_steps) or any(
        each.violations or not each.cases for each in checks))


def _print_traffic(results):
    for traffic in loads.TRAFFIC_CLASSES:
        requests = [request for request in results.requests
                    if request.class_name == traffic.class_name]
        verdicts = collections.Counter(
            request.verdict or "missing" for request in requests)
        codes = collections.Counter(
            request.last_attempt.code for request in requests
            if request.verdict == "refused")
        attempts = sum(len(request.attempts) for request in requests)
        print(f"  {traffic.class_name:20} {len(requests)} requests, "
              f"{attempts} attempts, {dict(verdicts)} {dict(codes)}")
