"""The duties of an entry host: usage reports and orders for engines."""

import dataclasses

from crocuskeel.core.duties import clock
from crocuskeel.core.duties import model
from crocuskeel.core.duties import ordering
from crocuskeel.core.duties import reporting
from crocuskeel.core.duties import state as states
from crocuskeel.core.entry import draining
from crocuskeel.core.entry import duty_lease
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import server_load
from crocuskeel.core.entry import usage
from crocuskeel.core import revisions
from crocuskeel.core.scheduling import backlog

__all__ = ["REPORT", "SCALE", "answered", "begin", "peer_state_received",
           "step"]

REPORT = "usage"
SCALE = "scale"
# A failed call of a duty is retried after this delay, s; the delay doubles
# with each further failure, up to the maximum.
RETRY_S = 0.4
MAX_RETRY_S = 3.2


def begin(host, now):
    """Initialize the state of the duties, if there are any."""
    if host.cfg.duties:
        host.duties = states.new_duties(
            duty_lease.config(host.self_peer.name, host.cfg.lease_s), host.rng,
            now)


def peer_state_received(host, event, now):
    """Update the clock offsets and the leader from another host's state."""
    duties = host.duties
    if duties is None:
        return
    if event.wall is not None:
        clock.add_reading(duties.offsets, event.peer.name, event.wall, now)
    duty_lease.leader_received(
        duties, _leader_of_era(duties, event), now)


def _leader_of_era(duties, event):
    """Return the leader that another host reports, with the store's era."""
    leader = event.leader
    if event.catalog_version is not None:
        return leader
    own = duties.leader
    return dataclasses.replace(
        leader, version=revisions.in_era_of(own.version, leader.version),
        fence=revisions.in_era_of(own.fence, leader.fence))


def step(host, wall, now):
    """Do what is due; ``wall`` is this host's own wall clock time, s."""
    duties = host.duties
    if duties is None:
        return []
    clock.add_reading(duties.offsets, host.self_peer.name, wall, now)
    out = usage.send_counts(host, now)
    if duty_lease.is_holder(duties):
        out += _update_record(host, now)
    out += duty_lease.step(host, now)
    if duty_lease.may_act(duties, now):
        out += _start_due_calls(host, now)
    return out


def _update_record(host, now):
    """Decide the ended windows and put the record into the next renewal."""
    duties = host.duties
    wall = clock.wall_time(duties.offsets, now)
    lease = duties.lease_state.lease
    lines = []
    if REPORT in host.cfg.duties:
        for window in reporting.decide(duties, host.cfg.report_window_s, wall):
            lease.due_at = now
            counts = duties.handover.decided[window]
            lines.append(effects.LogEvent("window_decided", {
                "window": window, "requests": sum(counts.values()),
                "workspaces": len(counts), "hosts": sum(
                    window in table for table in duties.tables.values()),
                "fence": lease.fence}))
    if now >= lease.due_at:
        lease.record = duty_lease.lease_record(duties)
    return lines


def _start_due_calls(host, now):
    """Start the reports and orders that are due; the lease is held."""
    duties = host.duties
    calls = []
    if REPORT in host.cfg.duties:
        wall = clock.wall_time(duties.offsets, now)
        report = reporting.due(
            duties, host.cfg.report_window_s, host.cfg.report_lag_s, wall,
            _failed_window(duties))
        if report is not None and _may_start(duties, report, now):
            calls.append(report)
    if SCALE in host.cfg.duties and host.catalog is not None:
        calls += _orders(host, now)
    return [effect for call in calls for effect in _start_call(duties, call)]


def _failed_window(duties):
    """Return the window of the latest report, if that failed."""
    latest = duties.calls.get(model.REPORTS)
    if latest is None or not latest.failures:
        return None
    return latest.call.window


def _may_start(duties, call, now):
    latest = duties.calls.get(call.subject)
    return latest is None or not (
        latest.in_progress or latest.retry_at > now)


def _orders(host, now):
    """Return the orders that are due, of all services that have engines."""
    orders = []
    for service in host.catalog.services.values():
        if service.scaling is None:
            continue
        engines = [state for state in host.by_service.get(service.name, ())
                   if not draining.is_draining(host, state.server)]
        if not engines:
            # The list of engines may not be known yet.
            continue
        shares = [_utilization(state, now) for state in engines]
        queued = backlog.queued_engines(host, service.name, engines, now)
        ordering.sample(host.duties, service.name, shares, now, host.policy,
                        queued)
        orders += ordering.due(host.duties, service.name, service.scaling,
                               _count_engines(engines), now, host.policy)
    return orders


def _utilization(state, now):
    """Return the fraction of its time that an engine is in use."""
    running = server_load.running_requests(state,
                                           now) / max(1, state.server.slots)
    return min(1.0, max(state.prefill_share, running))


def _count_engines(engines):
    """Return the number of engines by (failure domain, spot)."""
    counts = {}
    for state in engines:
        key = state.server.domain, state.server.spot
        counts[key] = counts.get(key, 0) + 1
    return counts


def _start_call(duties, call):
    latest = duties.calls.get(call.subject)
    failures = 0
    if latest and (latest.call == call or call.subject == model.REPORTS):
        # After a failure the report of another window is sent next; while
        # the platform is unavailable, all of them fail.
        failures = latest.failures
    duties.calls[call.subject] = states.DutyCall(
        call, in_progress=True, failures=failures)
    lease = duties.lease_state.lease
    until = duty_lease.acts_until(duties)
    line = effects.LogEvent("duty_sent", {
        "duty": call.subject[0], "fence": lease.fence, **_log_fields(call)})
    return [line, effects.SendDuty(call, lease.fence, until)]


def _log_fields(call):
    if isinstance(call, model.Report):
        return {"window": call.window,
                "requests": sum(count for _, count in call.counts)}
    return {"service": call.service, "domain": call.domain,
            "spot": call.spot, "count": call.count}


def answered(host, event, now):
    """Handle the end of a duty's call."""
    duties = host.duties
    if duties is None:
        return []
    latest = duties.calls.get(event.call.subject)
    line = effects.LogEvent("duty_answered", {
        "duty": event.call.subject[0], "outcome": event.outcome.value,
        "detail": event.detail, **_log_fields(event.call)})
    if latest is None or latest.call != event.call:
        # It was started before the lease was lost and acquired again.
        return [line]
    latest.in_progress = False
    if event.outcome is model.Outcome.FAILED:
        latest.failures += 1
        latest.retry_at = now + min(
            MAX_RETRY_S, RETRY_S * 2 ** (latest.failures - 1))
        return [line]
    latest.failures = 0
    if isinstance(event.call, model.Report):
        reporting.answered(duties, event.call, event.outcome)
    else:
        ordering.answered(duties, latest, event.outcome, now)
    return [line]
