"""What must hold, from what callers and servers saw."""

import collections

from tools.soak import engine

__all__ = ["DRAIN_S", "KINDS", "LEASE_S", "judge", "judge_end", "judge_run"]

KINDS = ("top", "low", "safe", "unsafe")
STREAMS = ("top", "low")
NOT_RUN = (408, 421, 429, 503)
NOT_FOUND = 404
# A leaving server gets nothing, and a configuration is in force, s.
DRAIN_S = 3.0
# The span of the lease that the hosts' settings name, s.
LEASE_S = 3.0
APPLY_S = 3.0
# What a host showed of a configuration must not be taken back after, s.
BACK_S = 0.25
# A host ends what runs out of time this much before its caller does, s.
LAST_WORD_S = 0.1
# Later than this after its sending a request counts as read, s.
READ_S = 0.2
# A server stops working for a caller that left within, s.
GONE_S = 1.0
# Of a kind of request this share of what all get must be served.
STARVED_SHARE = 0.25
# A higher tier may be refused this much more often than a lower one.
TIER_SLACK = 0.1
COUNTED_LEAST = 30
# All hosts know a request that crashed three servers after this, s. Sent
# to several hosts within some ms it may crash more before.
KNOWN_S = 1.0
# From this long after it named a rate first, a server gets this many times
# what that allows in a span at the most, and so many requests more, from
# hosts that it told this long ago; s.
RATE_STABLE_S = 3.0
RATE_SPAN_S = 4.0
RATE_TIMES = 1.5
RATE_MORE = 5
RATE_TOLD_S = 0.5
# A host that was told by a server that it leaves sends it nothing that
# callers send later than this, s.
TOLD_LEAVING_S = 2.0
# From this long after it asked a host for rest, s, a server gets so many
# requests of it at the most until the rest is over.
REST_HEARD_S = 0.5
IN_REST_MOST = 2


def judge(seen, record):
    """Return what is wrong with a request, in words; empty if nothing.

    It is judged some time after its end, when what its servers still did
    is known.
    """
    runs = record.runs.get(seen.asked.rid, [])
    return (_whole(seen, runs) + _at_most_once(seen, runs, record)
            + _configured(seen, record) + _cut(seen, runs, record)
            + _gone(seen, record))


def _whole(seen, runs):
    wrong = []
    kind, reply = seen.asked.kind, seen.reply
    if reply.status == 200 and not _is_whole(kind, seen.asked.rid,
                                             reply.body):
        wrong.append("an answer is not the whole of its own request")
    if reply.status in NOT_RUN and runs:
        wrong.append("said not to have run, and ran")
    if reply.status == 503 and reply.retry_s is None:
        wrong.append("refused without the time to come back")
    return wrong


def _at_most_once(seen, runs, record):
    if seen.asked.kind == "unsafe" and len(runs) > 1:
        return ["ran more than once"]
    # Servers that ended or were cut off meanwhile don't count.
    counted = [sid for sid in runs
               if record.is_calm(seen.at, seen.ended_at, sid)
               and not seen.at <= record.ended.get(sid, 0) <= seen.ended_at]
    if seen.asked.kind != "unsafe" and len(counted) > 2:
        return ["ran on more servers than its route allows"]
    return []


def _is_whole(kind, rid, body):
    if kind not in STREAMS:
        return body == b"answer to " + rid.encode()
    wanted = b"".join(
        b"id: %d\ndata: %s\n\n" % (number, rid.encode())
        for number in range(1, engine.EVENTS + 1))
    return body == wanted


def _configured(seen, record):
    """The routes in force are the last two versions' own."""
    if not seen.asked.kind.startswith("v"):
        return []
    if not record.is_calm(seen.at - APPLY_S, seen.ended_at, seen.ip,
                          "store", "store " + seen.ip):
        return []
    asked = int(seen.asked.kind[1:])
    status = seen.reply.status
    if status == NOT_FOUND and asked in (seen.settled, seen.settled - 1) and (
            seen.is_kept(asked)):
        return [f"route of version {asked} is in force and not there"]
    if status == 200 and asked < seen.settled - 1:
        return [f"route of version {asked} was dropped and serves"]
    return []


def _cut(seen, runs, record):
    """A read request is answered, also where its host stops as planned."""
    if seen.reply.status or seen.reply.left or not seen.reply.connected:
        return []
    if seen.ended_at >= seen.at + seen.asked.deadline_s - LAST_WORD_S:
        # A stream that ran out of time ends like this.
        return []
    rid = seen.asked.rid
    if rid in record.spoiled:
        return []
    if not runs and seen.ended_at - seen.at < READ_S:
        return []
    if not record.is_calm(seen.at, seen.ended_at, seen.ip, "engines", *runs):
        return []
    return ["ended without an answer at a host that nothing disturbed"]


def _gone(seen, record):
    if not seen.reply.left:
        return []
    if not record.is_calm(seen.at, seen.ended_at + GONE_S, seen.ip,
                          "engines"):
        return []
    still = [sid for rid, sid in record.working if rid == seen.asked.rid]
    return [f"{sid} still works for a caller that left" for sid in still]


def judge_run(record):
    """Return what is wrong with a whole run."""
    return (_left(record) + _back(record) + _starved(record)
            + _tiers(record) + _crashed(record) + _limited(record)
            + _told_leaving(record) + _rested(record))


def _left(record):
    """Servers that left got nothing new."""
    wrong = []
    for rid, sid, at in record.arrivals:
        left_at = record.left.get(sid)
        if left_at is None or at <= left_at + DRAIN_S:
            continue
        ip = record.seen[rid].ip
        if record.is_calm(left_at, at, ip, "store", "store " + ip, sid):
            wrong.append(f"{rid}: reached {sid} {at - left_at:.1f} s after "
                         "it left")
    return wrong


def _back(record):
    """A host that served by a version never goes behind it."""
    wrong = []
    shown = {}
    rows = sorted(record.seen.values(), key=lambda seen: seen.at)
    for seen in rows:
        if not seen.asked.kind.startswith("v"):
            continue
        version, where = int(seen.asked.kind[1:]), (seen.ip, seen.boot)
        best, since = shown.get(where, (0, 0.0))
        if seen.reply.status == 200 and version > best:
            shown[where] = (version, seen.ended_at)
        behind = (seen.reply.status == NOT_FOUND and version <= best
                  and seen.at > since + BACK_S
                  and seen.is_kept(version))
        if behind and record.is_calm(seen.at, seen.ended_at, seen.ip):
            wrong.append(f"{seen.asked.rid}: {seen.ip} went back behind "
                         f"version {best}")
    return wrong


def _limited(record):
    """Servers that name a rate get no more from hosts that know it."""
    wrong = []
    for sid, (since, until, rate) in record.limits.items():
        most = RATE_TIMES * rate * RATE_SPAN_S + RATE_MORE
        times = [at for rid, reached, at in record.reached
                 if reached == sid and at <= until
                 and _counts(record, sid, record.seen[rid].ip, at)]
        for last in times:
            count = sum(last - RATE_SPAN_S < at <= last for at in times)
            if last >= since + RATE_STABLE_S and count > most and (
                    record.is_calm(last - RATE_SPAN_S, last, sid)):
                wrong.append(f"{sid} got {count} requests in {RATE_SPAN_S} "
                             f"s, by its rate {most:g} are allowed")
    return wrong


def _told_leaving(record):
    """A server gets nothing new from a host that it told that it leaves."""
    wrong = []
    for rid, sid, at in record.reached:
        seen = record.seen[rid]
        told_at = record.told_leaving.get((sid, seen.ip))
        if told_at is None or seen.at <= told_at + TOLD_LEAVING_S:
            continue
        if told_at < record.restarted.get(sid, 0.0) <= at:
            # What leaves is the process before.
            continue
        if record.is_calm(told_at, at, seen.ip):
            wrong.append(f"{rid}: reached {sid} {seen.at - told_at:.1f} s "
                         "after it had told its host that it leaves")
    return wrong


def _rested(record):
    """A server gets the rest that it asks a host for."""
    wrong = []
    for sid, ip, asked_at, rest_s in record.rests:
        count = sum(
            reached == sid and record.seen[rid].ip == ip
            and asked_at + REST_HEARD_S <= at <= asked_at + rest_s
            for rid, reached, at in record.reached)
        if count > IN_REST_MOST and record.is_calm(
                asked_at, asked_at + rest_s, ip, sid):
            wrong.append(f"{sid} got {count} requests of {ip} in a rest of "
                         f"{rest_s:g} s")
    return wrong


def _counts(record, sid, ip, at):
    """Say whether a host knew a server's rate, and was calm."""
    told_at = record.told.get((sid, ip))
    return (told_at is not None and told_at + RATE_TOLD_S <= at
            and record.is_calm(told_at, at, ip))


def _crashed(record):
    """A request that crashes servers is stopped after a few."""
    times = collections.defaultdict(list)
    for body, at in record.crashes:
        times[body].append(at)
    return [f"{body.decode()} crashed a server {rows[-1] - rows[2]:.1f} s "
            "after the third"
            for body, rows in times.items()
            if len(rows) > 3 and rows[-1] > rows[2] + KNOWN_S]


def _shares(record):
    served = collections.Counter()
    total = collections.Counter()
    for seen in record.seen.values():
        if seen.asked.kind in KINDS and not seen.reply.left:
            total[seen.asked.kind] += 1
            served[seen.asked.kind] += seen.reply.status == 200
    return {kind: (served[kind] / total[kind], total[kind])
            for kind in total}


def _starved(record):
    shares = _shares(record)
    total = sum(count for _, count in shares.values())
    if not total:
        return ["no request was sent"]
    overall = sum(share * count for share, count in shares.values()) / total
    return [f"{kind} starves: {share:.2f} served, of all {overall:.2f}"
            for kind, (share, count) in shares.items()
            if count >= COUNTED_LEAST and share < STARVED_SHARE * overall]


def _tiers(record):
    """What is refused for want of room is refused to the low tier first.

    Requests that a killed host took with it say nothing of tiers.
    """
    refused = collections.Counter()
    total = collections.Counter()
    for seen in record.seen.values():
        total[seen.asked.kind] += 1
        refused[seen.asked.kind] += seen.reply.status == 503
    if min(total[kind] for kind in STREAMS) < COUNTED_LEAST:
        return []
    top, low = (refused[kind] / total[kind] for kind in STREAMS)
    if top <= low + TIER_SLACK:
        return []
    return [f"of the top tier {top:.2f} is refused, of the low one {low:.2f}"]


def judge_end(replies):
    """Return what is wrong after the last fault was mended."""
    served = sum(reply.status == 200 for reply in replies)
    if served >= 0.75 * len(replies):
        return []
    return [f"not recovered: {served} of {len(replies)} served"]
