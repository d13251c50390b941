"""Callers that lost the connection of a stream and take it up at any host."""

import dataclasses

from tools.soak import checks
from tools.soak import engine
from tools.soak import version_checks
from twisted.internet import defer

__all__ = ["AGAIN_S", "take_up"]

# Interval between the tries of callers that come back until their limit, s.
AGAIN_S = 0.4
# Share of these tries without the last event's id: these begin anew.
ANEW_SHARE = 0.1
# Share of these tries whose callers lose the connection again.
BREAK_SHARE = 0.2
# Callers with less time than this left don't come back, s.
MIN_LEFT_S = 0.5
# Statuses after which callers don't come back.
FINAL = (200, 400, 401, 404, 413, 431)


def take_up(soak, sent):
    """Take up a stream whose connection was lost.

    Callers do so once, or until their time limit in runs that ``rejoin``.
    """
    found = version_checks.events_of(sent.reply.body)
    if (not soak.takes_up or sent.reply.status or not found
            or sent.request.resumes or sent.request.kind
            not in checks.STREAMS):
        return
    soak.unfinished += 1
    taken_up = _until_limit if soak.rejoins else _once
    defer.Deferred.fromCoroutine(
        taken_up(soak, sent.request, sent.at, *found[-1])).addErrback(
            soak.record_failure)


async def _once(soak, request, _, last, version):
    again = soak.new_request(request.kind, None, None)
    await _send(soak, _resuming(again, request.rid, last), version)


async def _until_limit(soak, request, at, last, version):
    """Come back until the stream is complete or the time limit is reached."""
    ends_at = at + request.deadline_s
    while True:
        await soak.sleep(AGAIN_S)
        left_s = ends_at - soak.reactor.seconds()
        if left_s < MIN_LEFT_S or last >= engine.EVENTS:
            break
        break_after_s = None
        if soak.rng.random() < BREAK_SHARE:
            break_after_s = soak.rng.uniform(0.1, 0.6)
        again = dataclasses.replace(
            soak.new_request(request.kind, None, break_after_s,
                             limit_s=left_s), is_repeated=True)
        begins_anew = soak.rng.random() < ANEW_SHARE
        if begins_anew:
            again = dataclasses.replace(again, headers=(
                *again.headers, (b"Resumes", request.rid.encode())))
        else:
            again = _resuming(again, request.rid, last)
        soak.unfinished += 1
        reply = await _send(soak, again, version)
        again_sent = soak.record.sent[again.rid]
        again_sent.servers_of_version = min(
            again_sent.servers_of_version, len(soak.serving(version)))
        found = version_checks.events_of(reply.body)
        if reply.status in FINAL or begins_anew and found:
            # A stream that begins anew is one of its own.
            break
        if found and not begins_anew:
            last = max(last, found[-1][0])
    soak.unfinished -= 1


def _resuming(again, rid, last):
    return dataclasses.replace(
        again, headers=(*again.headers, (b"Last-Event-Id", b"%d" % last),
                        (b"Resumes", rid.encode())),
        resumes=rid, last_event=last)


async def _send(soak, request, version):
    ip = soak.rng.choice(soak.known_ips or soak.fleet.ips)
    return await soak.send_to(ip, request, len(soak.serving(version)))
