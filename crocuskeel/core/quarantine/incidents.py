"""Deciding whether lost attempts mean a crash, and which request caused it.

All requests that ran on a server when an attempt on it was lost become
suspects at once. A load report with a new boot id, or no report for a
while, shows a crash. A report with the same boot id shows that only a
connection broke. A suspect is quarantined if it crashes a server that it
had to itself, or if it is the cause of two crashes
(:mod:`crocuskeel.core.crash_causes`).
"""

from crocuskeel.core import crash_causes
from crocuskeel.core.quarantine import state

__all__ = ["attempt_done", "attempt_lost", "has_undecided_loss",
           "judge_overdue", "load_reported"]

JOIN_WINDOW_S = 3.0
# Load reports are delayed. One that arrives at least this long after the
# loss was made after the loss.
REPORT_LAG_S = 2.0
REPORT_TIMEOUT_S = 4.0


def attempt_lost(daemon, engine, boot_id, fingerprints, exclusive, now):
    """Record an attempt lost on a server; return effects.

    ``fingerprints`` are those of all attempts that ran there, the lost
    one included. ``exclusive`` is the lost attempt's fingerprint if it had
    the server to itself, else "".
    """
    incident = _open_incident(daemon, engine, boot_id, now)
    incident.fingerprints.update(
        fingerprint for fingerprint in fingerprints if fingerprint)
    incident.exclusive = exclusive or incident.exclusive
    return state.announce(
        daemon, engine, state.Verdict.SUSPECT, fingerprints, now)


def _open_incident(daemon, engine, boot_id, now):
    for incident in daemon.quarantine.incidents:
        if incident.engine == engine and _joins(incident, boot_id, now):
            return incident
    incident = state.Incident(engine, now, boot_id, set())
    daemon.quarantine.incidents.append(incident)
    return incident


def _joins(incident, boot_id, now):
    """Tell whether a loss belongs to a known incident of its server.

    A server crashes at most once per boot, so a late loss of the same
    boot belongs to the same crash. A loss of a later boot is another
    crash, however soon after, and must be counted as such.
    """
    if boot_id and incident.boot_id and boot_id != incident.boot_id:
        return False
    if incident.crashed:
        return bool(boot_id)
    return (incident.crashed is None and not incident.exclusive
            and now - incident.opened_at <= JOIN_WINDOW_S)


def attempt_done(daemon, engine, fingerprint, now):
    """Clear a suspect whose answer was complete; return effects."""
    if not state.verdict(daemon, fingerprint):
        return []
    for incident in daemon.quarantine.incidents:
        incident.fingerprints.discard(fingerprint)
    return state.announce(
        daemon, engine, state.Verdict.CLEARED, (fingerprint,), now)


def load_reported(daemon, engine, boot_id, now):
    """Decide open incidents by a load report of the server."""
    out = []
    for incident in _undecided(daemon):
        if incident.engine != engine:
            continue
        if boot_id != incident.boot_id and incident.boot_id:
            out += _crashed(daemon, incident, now)
        elif now - incident.opened_at >= REPORT_LAG_S:
            out += _not_crashed(daemon, incident, now)
    return out


def judge_overdue(daemon, now):
    """Treat a server that sent no report since its loss as crashed."""
    out = []
    for incident in _undecided(daemon):
        if now - incident.opened_at >= REPORT_TIMEOUT_S:
            out += _crashed(daemon, incident, now)
    return out


def has_undecided_loss(daemon, engine):
    """Tell whether the server has an incident that is not decided yet."""
    return any(incident.engine == engine
               for incident in _undecided(daemon))


def _undecided(daemon):
    return [incident for incident in daemon.quarantine.incidents
            if incident.crashed is None]


def _crashed(daemon, incident, now):
    incident.crashed = True
    cause = _cause(daemon, incident)
    if not cause:
        return []
    out = state.announce(
        daemon, incident.engine, state.Verdict.QUARANTINED, (cause,), now)
    for known in daemon.quarantine.incidents:
        if cause in known.fingerprints:
            others = known.fingerprints - {cause}
            known.fingerprints = {cause}
            out += _clear(daemon, known.engine, others, now)
    return out


def _cause(daemon, incident):
    if incident.exclusive:
        return incident.exclusive
    # Copies of one request may be running on two servers before the first
    # loss is reported. Then it is taken as the cause without risking a third
    # server.
    causes = crash_causes.attribute(
        known.fingerprints for known in daemon.quarantine.incidents
        if known.crashed)
    return next((fingerprint for fingerprint in incident.fingerprints
                 if fingerprint in causes.culprits), "")


def _not_crashed(daemon, incident, now):
    incident.crashed = False
    others = incident.fingerprints
    incident.fingerprints = set()
    return _clear(daemon, incident.engine, others, now)


def _clear(daemon, engine, fingerprints, now):
    implicated = set()
    for incident in daemon.quarantine.incidents:
        implicated |= incident.fingerprints
    unimplicated = fingerprints - implicated
    return state.announce(
        daemon, engine, state.Verdict.CLEARED, unimplicated, now)
