"""Trials: runs of requests that may crash servers, one at a time in the fleet.

Hosts date a crash alike, so a refusal ends on all of them at the same time. A
host that has such a request then claims its trial from all others and waits
until claims that were made meanwhile have arrived. Of several, each host finds
the same one to precede. A claim lapses unless its host renews it, as it does
while the request runs.
"""

import dataclasses

from crocuskeel.core.entry import crash_records as records
from crocuskeel.core.entry import crash_updates as updates
from crocuskeel.core.entry import crashes
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import routing

__all__ = ["begun_lines", "hold_until", "may_begin", "merge", "renew"]

# A claim lapses this long after it was made or renewed, s: it is renewed at
# each tick, and a datagram may be lost.
CLAIM_TTL_S = 1.0
# A claim is known to all hosts that hear its host directly after half of this
# time, s. So of two that were made without knowledge of each other, both are
# known to both hosts before either runs the request.
SETTLE_S = 2 * fleet.HOP_DELAY_S
# The same where each host sends to a part of the others, which pass a claim on
# with their next state.
WIDE_SETTLE_S = SETTLE_S + 2 * fleet.STATE_INTERVAL_S
# A renewal counts as news from this on, s.
MIN_NEWER_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A host's claim of a trial, made at ``since``, renewed at ``at``."""

    since: float
    at: float


def may_begin(host, key, now):
    """Return whether a request may run as far as trials are concerned.

    ``key`` is the digest or part for which it runs alone, or "". Claims the
    trial of one that may crash servers, if nobody else has.
    """
    if not key:
        return True
    claims = _claims(host, key, now)
    me = host.self_peer.name
    if not claims:
        claims = {me: Claim(now, now)}
        _claim(host, key, claims[me])
    if me not in claims or now < claims[me].since + _settle_s(host, now):
        return False
    first = min(claims, key=lambda name: routing.cached_unit_hash(
        key, name))
    if first != me:
        del host.crash_records.trials[key][me]
        return False
    return True


def hold_until(host, key, now):
    """Return until when a request waits for the claim of its trial."""
    own = _claims(host, key, now).get(host.self_peer.name)
    return own.since + _settle_s(host, now) + CLAIM_TTL_S / 2 if own else now


def begun_lines(host, pending, key):
    """Return the log line of a trial that begins, if it is one."""
    if not key:
        return []
    return [effects.LogEvent("crash_trial", {
        "digest": pending.digest, "key": key,
        "crashes": len(updates.lost_at(host, pending.digest))})]


def renew(host, now):
    """Renew the claims of requests in progress, and drop those that lapsed."""
    trials = host.crash_records.trials
    if not trials:
        return
    running = {key for pending in host.pending.values()
               if ending.active_attempts(pending)
               for key in (pending.digest, *pending.part_keys)}
    for key in list(trials):
        claims = _claims(host, key, now)
        own = claims.get(host.self_peer.name)
        if own is not None and key in running:
            _claim(host, key, Claim(own.since, now))
        elif not claims:
            del trials[key]


def merge(host, report, now):
    """Merge another host's claim; return log lines, None if it is known."""
    name = report.sid
    if name == host.self_peer.name or now - report.at > CLAIM_TTL_S:
        return None
    known = _claims(host, report.digest, now).get(name)
    if known is not None and report.at < known.at + MIN_NEWER_S:
        return None
    since = known.since if known is not None else report.at
    host.crash_records.trials.setdefault(report.digest, {})[name] = Claim(
        since, report.at)
    return []


def _claim(host, key, claim):
    name = host.self_peer.name
    host.crash_records.trials.setdefault(key, {})[name] = claim
    crashes.report_to_others(host, records.Report(
        records.Kind.TRIAL, claim.at, key, name), claim.at)


def _claims(host, key, now):
    """Return the claims of a trial that have not lapsed, by host."""
    return {name: claim for name, claim
            in host.crash_records.trials.get(key, {}).items()
            if now - claim.at <= CLAIM_TTL_S}


def _settle_s(host, now):
    others = sum(peer.name != host.self_peer.name
                 for peer in fleet.serving_hosts(host, now))
    if not others:
        return 0.0
    return SETTLE_S if others <= fleet.MAX_FANOUT else WIDE_SETTLE_S
