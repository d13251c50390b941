"""The checks of planned stops: what hosts that stop serve and refuse."""

from crocuskeel.core.entry import durations

__all__ = ["GRACE_S", "broken_streams", "check_logs", "check_stops",
           "is_refused_by_stop", "outlasts"]

GRACE_S = 8.0
REASON = b"stopping"
# A host may end this long before its grace period does, s.
EXIT_S = 1.0
# A request that would have ended so long before the grace period does could
# have been served, s, once so many of its kind were.
SERVABLE_S = 1.0


def is_refused_by_stop(reply):
    """Return whether a reply refuses a request as its host is stopping."""
    return reply.status == 503 and REASON in reply.body


def outlasts(sent, record):
    """Return whether a stream that began before SIGTERM outlasted the grace.

    Nothing else may end without an answer as its host stops.
    """
    since = record.sigterms.get((sent.ip, sent.boot))
    return (since is not None and sent.ended_at >= since + GRACE_S - EXIT_S
            and any(rid == sent.request.rid and at < since
                    for rid, _, at in record.arrivals))


def check_stops(record):
    """Return descriptions of the violations around planned stops."""
    return _check_refusals(record) + _check_ends(record)


def _check_refusals(record):
    """Only hosts that stop refuse as such, and only what they can't end."""
    errors = []
    for sent in record.sent.values():
        if not is_refused_by_stop(sent.reply):
            continue
        rid = sent.request.rid
        since = record.sigterms.get((sent.ip, sent.boot))
        if since is None or sent.ended_at < since:
            errors.append(f"{rid}: refused by a stop, but {sent.ip} was not "
                          "being stopped")
        elif _could_be_served(sent, since, record):
            errors.append(
                f"{rid} ({sent.request.kind}): {sent.ip} refused it "
                f"{sent.ended_at - since:.2f} s after SIGTERM, elsewhere it "
                f"took {_took_elsewhere(sent, record):.2f} s")
    return errors


def _took_elsewhere(sent, record):
    """Return how long a request that was refused took then, s, or None."""
    again = record.sent.get(record.came_again.get(sent.request.rid))
    if again is None or again.reply.status != 200:
        return None
    return again.ended_at - again.at


def _could_be_served(sent, since, record):
    took_s = _took_elsewhere(sent, record)
    if took_s is None or not record.is_undisturbed(
            since, sent.ended_at, sent.ip, "engines"):
        return False
    served = sum(
        other.reply.status == 200 and other.ended_at <= since
        and (other.ip, other.boot) == (sent.ip, sent.boot)
        and other.request.kind == sent.request.kind
        for other in record.sent.values())
    return (served >= durations.MIN_SAMPLES
            and sent.ended_at + took_s < since + GRACE_S - SERVABLE_S)


def _check_ends(record):
    """An undisturbed host ends by itself."""
    return [f"{ip} had not ended by itself {GRACE_S:g} s after SIGTERM"
            for ip, at in record.kills
            if record.is_undisturbed(at - GRACE_S, at, ip)]


def broken_streams(record):
    """Return the SentRequests that ended as an undisturbed host stopped."""
    return [
        sent for sent in record.sent.values()
        if not sent.reply.status and sent.reply.connected
        and not sent.reply.abandoned and outlasts(sent, record)
        and sent.ended_at < sent.at + sent.request.deadline_s
        and sent.request.rid not in record.failed_by_server
        and record.is_undisturbed(sent.at, sent.ended_at, sent.ip, "engines")]


def check_logs(record, logs):
    """Return the broken streams that no log names; ``logs`` is by host."""
    return [f"{sent.request.rid}: broken off by the stop of {sent.ip}, whose "
            "log does not name it" for sent in broken_streams(record)
            if not any("cut_by_stop" in line and sent.request.rid in line
                       for line in logs.get(sent.ip, ()))]
