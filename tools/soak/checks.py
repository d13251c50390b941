"""The guarantees checked against what callers and servers observed."""

import collections
import math

from tools.soak import cut_answers
from tools.soak import cut_checks
from tools.soak import engine
from tools.soak import part_checks
from tools.soak import record as records
from tools.soak import stop_checks
from tools.soak import version_checks

__all__ = ["DRAIN_S", "IDENTICAL", "KINDS", "LEASE_S", "RESTORED",
           "check_recovery", "check_request", "check_run", "expected_body"]

KINDS = ("top", "low", "safe", "unsafe")
STREAMS = ("top", "low")
NOT_RUN = (408, 421, 429, 503)
NOT_FOUND = 404
# Time until a leaving server gets no new requests, and until a
# configuration is in force (APPLY_S), s.
DRAIN_S = 3.0
# Hosts have seen a change of the store this long after it, s.
LISTED_S = 1.0
# Name of the fault in which the store comes back from an older copy.
RESTORED = "store restored"
# The duration of the lease in the hosts' settings, s.
LEASE_S = 3.0
APPLY_S = 3.0
# A host must not return to an older configuration this long after it
# served by a newer one, s.
ROLLBACK_TOLERANCE_S = 0.25
# A host ends a request this long before the caller's deadline, s.
DEADLINE_MARGIN_S = 0.1
# A host is taken to have read a request this long after its sending, s.
REQUEST_READ_S = 0.2
# A server must stop work for a disconnected caller within, s.
CANCEL_TIMEOUT_S = 1.0
# Minimum served share of a kind of request, relative to that of all kinds.
MIN_RELATIVE_SERVED_SHARE = 0.25
# A higher tier's refused share may exceed a lower one's by this much.
TIER_SLACK = 0.1
MIN_SAMPLE_SIZE = 30
# All hosts know a request that crashed three servers after this, s. If it
# is sent to several hosts within a few ms, it may crash more before that.
POISON_KNOWN_S = 1.0
# Bodies with this prefix are sent by many callers and crash no server. Once
# one was served, hosts know so after this, s.
IDENTICAL = b"identical"
SERVED_KNOWN_S = 1.0
QUARANTINED = b"quarantined"
# RATE_STABLE_S after a server first sent a rate limit, it may get at most
# RATE_TOLERANCE times what that allows in RATE_SPAN_S, plus
# RATE_EXTRA_REQUESTS. Only requests of hosts that received the limit at
# least RATE_NOTICE_S before count.
RATE_STABLE_S = 3.0
RATE_SPAN_S = 4.0
RATE_TOLERANCE = 1.5
RATE_EXTRA_REQUESTS = 5
RATE_NOTICE_S = 0.5
# A host that a server notified of its leaving sends it no request that
# arrived from a caller later than this, s.
LEAVING_NOTICE_S = 2.0
# From this long after a server asked a host for a backoff, s, it may get at
# most so many requests from that host until the backoff is over.
BACKOFF_NOTICE_S = 0.5
MAX_REQUESTS_IN_BACKOFF = 2


def check_request(sent, record):
    """Return descriptions of the violations of a request.

    It is called some time after the request's end, when it is known whether
    servers went on working for it.
    """
    runs = record.runs.get(sent.request.rid, [])
    return (_check_reply(sent, runs, record)
            + _check_executions(sent, runs, record)
            + _check_routes(sent, record) + _check_answered(sent, runs, record)
            + _check_cancelled(sent, record))


def _check_reply(sent, runs, record):
    errors = []
    reply = sent.reply
    if (reply.status == 200 and not _is_complete(sent.request, reply.body)
            and sent.request.rid not in record.cut_unframed
            and not (sent.request.rid in record.cut_open
                     and cut_answers.is_open_part(
                         reply, expected_body(sent.request)))):
        errors.append("response is incomplete or of another request")
    if reply.status in NOT_RUN and runs:
        errors.append("reported as not run, but a server ran it")
    if reply.status == 503 and reply.retry_after_s is None:
        errors.append("refused without Retry-After")
    return errors


def _check_executions(sent, runs, record):
    if sent.request.kind == "unsafe" and len(runs) > 1:
        return ["unsafe request ran more than once"]
    # Servers that ended or were cut off during the request don't count.
    counted = [sid for sid in runs
               if record.is_undisturbed(sent.at, sent.ended_at, sid)
               and not sent.at <= record.ended.get(sid, 0) <= sent.ended_at]
    if sent.request.kind != "unsafe" and len(counted) > 2:
        return ["ran on more servers than its route allows"]
    return []


def _is_complete(request, body):
    if request.kind in STREAMS:
        body = version_checks.without_comments(body)
    return body == expected_body(request)


def expected_body(request):
    """Return the body of a whole response, without comments."""
    rid = request.rid.encode()
    if request.kind not in STREAMS:
        return b"answer to " + rid
    return b"".join(
        b"id: %d\ndata: %s\n\n" % (number, rid)
        for number in range(request.last_event + 1, engine.EVENTS + 1))


def _check_routes(sent, record):
    """The routes in force are exactly those of the last two versions."""
    if not sent.request.kind.startswith("v"):
        return []
    if not record.is_undisturbed(sent.at - APPLY_S, sent.ended_at, sent.ip,
                                 "store", "store " + sent.ip):
        return []
    version = int(sent.request.kind[1:])
    status = sent.reply.status
    if status == NOT_FOUND and version in (
            sent.settled, sent.settled - 1) and sent.is_kept(version):
        return [f"route of version {version} is in force but not found"]
    if status == 200 and version < sent.settled - 1:
        return [f"route of version {version} was removed but still serves"]
    return []


def _check_answered(sent, runs, record):
    """A request that was read is answered, also during a planned stop."""
    if sent.reply.status or sent.reply.abandoned or not sent.reply.connected:
        return []
    if sent.ended_at >= sent.at + sent.request.deadline_s - DEADLINE_MARGIN_S:
        # A stream that reaches its deadline ends like this.
        return []
    rid = sent.request.rid
    if rid in record.failed_by_server:
        return []
    if not runs and sent.ended_at - sent.at < REQUEST_READ_S:
        return []
    if stop_checks.outlasts(sent, record) or not record.is_undisturbed(
            sent.at, sent.ended_at, sent.ip, "engines", *runs):
        return []
    return ["ended without a response at an undisturbed host"]


def _check_cancelled(sent, record):
    if not sent.reply.abandoned:
        return []
    if not record.is_undisturbed(sent.at, sent.ended_at + CANCEL_TIMEOUT_S,
                                 sent.ip, "engines"):
        return []
    still_working = [sid for rid, sid in record.working
                     if rid == sent.request.rid]
    return [f"{sid} still works for a disconnected caller"
            for sid in still_working]


def check_run(record):
    """Return descriptions of the violations in a whole run."""
    return (_check_departed(record) + _check_versions(record)
            + _check_starvation(record)
            + _check_tiers(record) + _check_poison(record)
            + _check_identical(record)
            + cut_checks.check_cut_off(record, KINDS, IDENTICAL)
            + version_checks.check_streams(record, STREAMS)
            + part_checks.check_parts(record, STREAMS)
            + _check_rates(record) + _check_leaving(record)
            + _check_backoffs(record) + stop_checks.check_stops(record))


def _check_departed(record):
    """Servers that left get no new requests."""
    errors = []
    for rid, sid, at in record.arrivals:
        left_at = record.departed.get(sid)
        if left_at is None or at <= left_at + DRAIN_S:
            continue
        ip = record.sent[rid].ip
        if record.is_undisturbed(left_at, at, ip, "store " + ip, sid) and (
                not _may_not_have_seen(record, left_at, at)):
            errors.append(f"{rid}: reached {sid} {at - left_at:.1f} s after "
                          "it left")
    return errors


def _may_not_have_seen(record, left_at, until):
    """Return whether the store kept hosts from seeing that a server left.

    A host that has seen it is bound by that, whatever the store's copy says.
    """
    return any(
        start <= until and end + records.AFTEREFFECT_S >= left_at
        for start, end, place, name in record.faults if place == "store"
        and (name != RESTORED or start <= left_at + LISTED_S))


def _check_versions(record):
    """A host never returns to a version older than one it served by."""
    errors = []
    newest_served = {}
    rows = sorted(record.sent.values(), key=lambda sent: sent.at)
    for sent in rows:
        if not sent.request.kind.startswith("v"):
            continue
        version, where = int(sent.request.kind[1:]), (sent.ip, sent.boot)
        newest, since = newest_served.get(where, (0, 0.0))
        if sent.reply.status == 200 and version > newest:
            newest_served[where] = (version, sent.ended_at)
        behind = (sent.reply.status == NOT_FOUND and version <= newest
                  and sent.at > since + ROLLBACK_TOLERANCE_S
                  and sent.is_kept(version))
        if behind and record.is_undisturbed(sent.at, sent.ended_at, sent.ip):
            errors.append(f"{sent.request.rid}: {sent.ip} returned to a "
                          f"version older than {newest}")
    return errors


def _check_rates(record):
    """Hosts that know a server's rate limit keep to it."""
    errors = []
    for sid, (since, until, rate) in record.limits.items():
        max_count = RATE_TOLERANCE * rate * RATE_SPAN_S + RATE_EXTRA_REQUESTS
        sent_times = [at for rid, reached, at in record.reached
                      if reached == sid and at <= until
                      and _is_counted(record, sid, record.sent[rid].ip, at)]
        for last in sent_times:
            count = sum(last - RATE_SPAN_S < at <= last for at in sent_times)
            if last >= since + RATE_STABLE_S and count > max_count and (
                    record.is_undisturbed(last - RATE_SPAN_S, last, sid)):
                errors.append(f"{sid} got {count} requests in {RATE_SPAN_S} "
                              f"s, its rate limit allows {max_count:g}")
    return errors


def _check_leaving(record):
    """A server gets no new requests from a host it notified of leaving."""
    errors = []
    for rid, sid, at in record.reached:
        sent = record.sent[rid]
        told_at = record.leaving_sent.get((sid, sent.ip))
        if told_at is None or sent.at <= told_at + LEAVING_NOTICE_S:
            continue
        if told_at < record.restarted.get(sid, 0.0) <= at:
            # The notification was from the previous process.
            continue
        if record.is_undisturbed(told_at, at, sent.ip):
            errors.append(f"{rid}: reached {sid} {sent.at - told_at:.1f} s "
                          "after it notified its host of leaving")
    return errors


def _check_backoffs(record):
    """A host observes the backoff that a server asks for."""
    errors = []
    for sid, ip, asked_at, backoff_s in record.backoffs:
        count = sum(
            reached == sid and record.sent[rid].ip == ip
            and asked_at + BACKOFF_NOTICE_S <= at <= asked_at + backoff_s
            for rid, reached, at in record.reached)
        if count > MAX_REQUESTS_IN_BACKOFF and record.is_undisturbed(
                asked_at, asked_at + backoff_s, ip, sid):
            errors.append(f"{sid} got {count} requests from {ip} in a "
                          f"backoff of {backoff_s:g} s")
    return errors


def _is_counted(record, sid, ip, at):
    """Return whether an undisturbed host knew a server's rate limit."""
    told_at = record.rate_sent.get((sid, ip))
    return (told_at is not None and told_at + RATE_NOTICE_S <= at
            and record.is_undisturbed(told_at, at, ip))


def _check_poison(record):
    """A request that crashes servers is blocked after the third crash."""
    crash_times = collections.defaultdict(list)
    for body, at in record.crashes:
        crash_times[body].append(at)
    return [f"{body.decode()} crashed a server {rows[-1] - rows[2]:.1f} s "
            "after the third"
            for body, rows in crash_times.items()
            if len(rows) > 3 and rows[-1] > rows[2] + POISON_KNOWN_S]


def _check_identical(record):
    """A request that was served is not quarantined, whatever ran beside it."""
    served_at = {}
    errors = []
    for sent in sorted(record.sent.values(), key=lambda sent: sent.ended_at):
        body = sent.request.body
        if not body.startswith(IDENTICAL):
            continue
        if sent.reply.status == 200:
            served_at.setdefault(body, sent.ended_at)
        known_at = served_at.get(body, math.inf) + SERVED_KNOWN_S
        if QUARANTINED in sent.reply.body and sent.at > known_at and (
                record.is_undisturbed(sent.at - SERVED_KNOWN_S, sent.ended_at,
                                      sent.ip)):
            errors.append(f"{sent.request.rid}: {body.decode()} was served "
                          "and then quarantined")
    return errors


def _served_shares(record):
    served = collections.Counter()
    total = collections.Counter()
    for sent in record.sent.values():
        if (sent.request.kind in KINDS and not sent.reply.abandoned
                and not sent.request.is_repeated
                and sent.request.rid not in record.came_again
                and not part_checks.is_bad(sent.request)):
            total[sent.request.kind] += 1
            served[sent.request.kind] += sent.reply.status == 200
    return {kind: (served[kind] / total[kind], total[kind])
            for kind in total}


def _check_starvation(record):
    shares = _served_shares(record)
    total = sum(count for _, count in shares.values())
    if not total:
        return ["no request was sent"]
    overall = sum(share * count for share, count in shares.values()) / total
    return [f"{kind} starved: {share:.2f} served, {overall:.2f} of all kinds"
            for kind, (share, count) in shares.items()
            if count >= MIN_SAMPLE_SIZE
            and share < MIN_RELATIVE_SERVED_SHARE * overall]


def _check_tiers(record):
    """Requests of the low tier are refused first when capacity is short.

    Requests lost with a killed host say nothing about tiers, and for one that
    a stopping host refused and that came again the next try counts.
    """
    refused = collections.Counter()
    total = collections.Counter()
    for sent in record.sent.values():
        if (part_checks.is_bad(sent.request) or sent.request.is_repeated
                or sent.request.rid in record.came_again):
            continue
        total[sent.request.kind] += 1
        refused[sent.request.kind] += sent.reply.status == 503
    if min(total[kind] for kind in STREAMS) < MIN_SAMPLE_SIZE:
        return []
    top, low = (refused[kind] / total[kind] for kind in STREAMS)
    if top <= low + TIER_SLACK:
        return []
    return [f"refused share of the top tier {top:.2f}, of the low tier "
            f"{low:.2f}"]


def check_recovery(replies):
    """Return the violations after the last fault has ended."""
    served = sum(reply.status == 200 for reply in replies)
    if served >= 0.75 * len(replies):
        return []
    return [f"not recovered: {served} of {len(replies)} served"]
