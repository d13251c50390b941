"""Judging losses of attempts: crash or broken connection, and by whom.

All that ran on a server when an attempt on it was lost are suspects at
once. A load report with another boot id, or none at all for a while,
shows a crash; one with the same boot id shows that only a connection
broke. A suspect that crashes a server it had to itself, or the only one
that was on two crashed servers, is quarantined.
"""

from crocuskeel.core.quarantine import state

__all__ = ["engine_seen", "finished", "is_open", "lost", "overdue"]

JOIN_S = 3.0
# A load report lags: one this long after the loss was made after it.
REPORT_LAG_S = 2.0
SILENCE_S = 4.0


def lost(daemon, engine, boot_id, fingerprints, alone, now):
    """Take note of an attempt lost on a server; return effects.

    ``fingerprints`` are all that ran there with it, its own too;
    ``alone`` is its own if it had the server to itself, else "".
    """
    incident = _open_incident(daemon, engine, boot_id, now)
    incident.fingerprints.update(one for one in fingerprints if one)
    incident.alone = alone or incident.alone
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

    A server's boot crashes once, so a late loss of the same boot is of
    the same crash; one of a later boot is another crash, however soon
    after, and must count as such.
    """
    if boot_id and incident.boot_id and boot_id != incident.boot_id:
        return False
    if incident.crashed:
        return bool(boot_id)
    return (incident.crashed is None and not incident.alone
            and now - incident.at <= JOIN_S)


def finished(daemon, engine, fingerprint, now):
    """Take note of a whole answer; a suspect is cleared by it."""
    if not state.verdict(daemon, fingerprint):
        return []
    for incident in daemon.quarantine.incidents:
        incident.fingerprints.discard(fingerprint)
    return state.announce(
        daemon, engine, state.Verdict.CLEARED, (fingerprint,), now)


def engine_seen(daemon, engine, boot_id, now):
    """Judge open incidents by a load report of the server."""
    out = []
    for incident in _undecided(daemon):
        if incident.engine != engine:
            continue
        if boot_id != incident.boot_id and incident.boot_id:
            out += _crashed(daemon, incident, now)
        elif now - incident.at >= REPORT_LAG_S:
            out += _not_crashed(daemon, incident, now)
    return out


def overdue(daemon, now):
    """Judge incidents whose server has sent no report since."""
    out = []
    for incident in _undecided(daemon):
        if now - incident.at >= SILENCE_S:
            out += _crashed(daemon, incident, now)
    return out


def is_open(daemon, engine):
    """Tell whether a loss on the server is not judged yet."""
    return any(incident.engine == engine
               for incident in _undecided(daemon))


def _undecided(daemon):
    return [incident for incident in daemon.quarantine.incidents
            if incident.crashed is None]


def _crashed(daemon, incident, now):
    incident.crashed = True
    guilty = _guilty(daemon, incident)
    if not guilty:
        return []
    out = state.announce(
        daemon, incident.engine, state.Verdict.QUARANTINED, (guilty,), now)
    for known in daemon.quarantine.incidents:
        if guilty in known.fingerprints:
            others = known.fingerprints - {guilty}
            known.fingerprints = {guilty}
            out += _clear(daemon, known.engine, others, now)
    return out


def _guilty(daemon, incident):
    if incident.alone:
        return incident.alone
    # Copies of one request can be running on two servers before the
    # first loss is heard of; then no third server is risked.
    crashes = [known for known in daemon.quarantine.incidents
               if known.crashed and known is not incident]
    common = [one for one in incident.fingerprints
              if any(one in known.fingerprints for known in crashes)]
    return common[0] if len(common) == 1 else ""


def _not_crashed(daemon, incident, now):
    incident.crashed = False
    others = incident.fingerprints
    incident.fingerprints = set()
    return _clear(daemon, incident.engine, others, now)


def _clear(daemon, engine, fingerprints, now):
    implicated = set()
    for incident in daemon.quarantine.incidents:
        implicated |= incident.fingerprints
    innocent = fingerprints - implicated
    return state.announce(
        daemon, engine, state.Verdict.CLEARED, innocent, now)
