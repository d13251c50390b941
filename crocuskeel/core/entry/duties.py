"""What an entry host does for the duties: reports and orders."""

from crocuskeel.core.duties import model
from crocuskeel.core.duties import ordering
from crocuskeel.core.duties import reporting
from crocuskeel.core.duties import state as states
from crocuskeel.core.duties import truetime
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import holding
from crocuskeel.core.entry import leaving
from crocuskeel.core.entry import serverload
from crocuskeel.core.entry import usage

__all__ = ["REPORT", "SCALE", "answered", "begin", "heard", "step"]

REPORT = "usage"
SCALE = "scale"
# A call of a duty that failed is made again after this, s, and twice as
# long each time it fails again, up to the second.
AGAIN_S = 0.4
AGAIN_MOST_S = 3.2


def begin(host, now):
    """Begin the duties that the platform asks for, if any."""
    if host.cfg.duties:
        host.duties = states.new_duties(
            holding.config(host.me.name, host.cfg.lease_s), host.rng, now)


def heard(host, event, now):
    """Take what another host says of the time, and of who leads."""
    duties = host.duties
    if duties is None:
        return
    if event.wall is not None:
        truetime.note(duties.offsets, event.peer.name, event.wall, now)
    holding.heard(duties, event.leader, now)


def step(host, wall, now):
    """Do what is due; ``wall`` is this host's own time of day, s."""
    duties = host.duties
    if duties is None:
        return []
    truetime.note(duties.offsets, host.me.name, wall, now)
    out = usage.tell(host, now)
    if holding.is_holder(duties):
        out += _decide(host, now)
    out += holding.step(host, now)
    if holding.may_act(duties, now):
        out += _act(host, now)
    return out


def _decide(host, now):
    """Have decided windows and the tables kept with the next renewal."""
    duties = host.duties
    wall = truetime.now(duties.offsets, now)
    lease = duties.candidate.lease
    lines = []
    if REPORT in host.cfg.duties:
        for window in reporting.decide(duties, host.cfg.report_s, wall):
            lease.due_at = now
            counts = duties.book.decided[window]
            lines.append(effects.Note("window_decided", {
                "window": window, "requests": sum(counts.values()),
                "workspaces": len(counts), "hosts": sum(
                    window in table for table in duties.tables.values()),
                "fence": lease.fence}))
    if now >= lease.due_at:
        lease.record = holding.record(duties)
    return lines


def _act(host, now):
    """Report and order what is due: this host holds the lease."""
    duties = host.duties
    calls = []
    if REPORT in host.cfg.duties:
        wall = truetime.now(duties.offsets, now)
        report = reporting.due(
            duties, host.cfg.report_s, host.cfg.report_due_s, wall,
            _failed_window(duties))
        if report is not None and _is_free(duties, report, now):
            calls.append(report)
    if SCALE in host.cfg.duties and host.catalog is not None:
        calls += _orders(host, now)
    return [effect for call in calls for effect in _send(duties, call)]


def _failed_window(duties):
    """Return the window whose report was made last, if it failed."""
    known = duties.calls.get(model.REPORTS)
    if known is None or not known.failures:
        return None
    return known.call.window


def _is_free(duties, call, now):
    known = duties.calls.get(call.subject)
    return known is None or not (known.under_way or known.due_at > now)


def _orders(host, now):
    """Return the orders that are due, of all services with any."""
    found = []
    for service in host.catalog.services.values():
        if service.scaling is None:
            continue
        engines = [state for state in host.by_service.get(service.name, ())
                   if not leaving.is_leaving(host, state.server)]
        if not engines:
            # The list of engines may not be known yet.
            continue
        shares = [_share(state, now) for state in engines]
        ordering.sample(host.duties, service.name, shares, now, host.policy)
        found += ordering.due(host.duties, service.name, service.scaling,
                              _count(engines), now, host.policy)
    return found


def _share(state, now):
    """Return the share of its time that an engine is in use."""
    running = serverload.running(state, now) / max(1, state.server.slots)
    return min(1.0, max(state.busy, running))


def _count(engines):
    """Return the number of engines by (failure domain, spot)."""
    found = {}
    for state in engines:
        key = state.server.domain, state.server.spot
        found[key] = found.get(key, 0) + 1
    return found


def _send(duties, call):
    known = duties.calls.get(call.subject)
    failures = 0
    if known and (known.call == call or call.subject == model.REPORTS):
        # Reports take turns; while the platform is away all fail.
        failures = known.failures
    duties.calls[call.subject] = states.Open(
        call, under_way=True, failures=failures)
    lease = duties.candidate.lease
    until = holding.acts_until(duties)
    line = effects.Note("duty_sent", {
        "duty": call.subject[0], "fence": lease.fence, **_inputs(call)})
    return [line, effects.SendDuty(call, lease.fence, until)]


def _inputs(call):
    if isinstance(call, model.Report):
        return {"window": call.window,
                "requests": sum(count for _, count in call.counts)}
    return {"service": call.service, "domain": call.domain,
            "spot": call.spot, "count": call.count}


def answered(host, event, now):
    """Take the answer to a call of a duty."""
    duties = host.duties
    if duties is None:
        return []
    known = duties.calls.get(event.call.subject)
    line = effects.Note("duty_answered", {
        "duty": event.call.subject[0], "outcome": event.outcome.value,
        "detail": event.detail, **_inputs(event.call)})
    if known is None or known.call != event.call:
        # It was sent before the lease was lost and held again.
        return [line]
    known.under_way = False
    if event.outcome is model.Outcome.FAILED:
        known.failures += 1
        known.due_at = now + min(
            AGAIN_MOST_S, AGAIN_S * 2 ** (known.failures - 1))
        return [line]
    known.failures = 0
    if isinstance(event.call, model.Report):
        reporting.answered(duties, event.call, event.outcome)
    else:
        ordering.answered(duties, known, event.outcome, now)
    return [line]
