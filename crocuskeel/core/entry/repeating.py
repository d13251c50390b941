"""When a request is looked at again, and may get another server."""

from crocuskeel.core.entry import budget
from crocuskeel.core.entry import choosing
from crocuskeel.core.entry import leaving
from crocuskeel.core.entry import model
from crocuskeel.core.entry import quarantine

__all__ = ["WORTH_SENDING_S", "may_go_on", "next_check", "stall_s"]

# Less than this is left: no server can do anything with it, s.
WORTH_SENDING_S = 0.02
# A repeatable call is sent to a second server, too, when this share of
# its goal is gone, and so early enough to be answered on time.
HEDGE_SHARE = 0.5
# A resumable stream without its first event may be moved when this share
# of its goal is gone, if its engine is silent.
MOVE_SHARE = 0.45
# A resumable stream is moved when it pauses for longer than this many
# of the longest pauses that are on time; s at the least.
STALL_GAPS = 1.0
STALL_LEAST_S = 0.4
# A request that may not be moved yet is looked at again after this, s.
RECHECK_S = 0.1


def next_check(pending, now):
    """Return when to look at the request again."""
    if not pending.route.repeatable:
        return pending.ends_at
    if pending.tries[-1].opened:
        due = max(now + RECHECK_S, pending.progress_at + stall_s(pending))
        return min(pending.ends_at, due)
    share = HEDGE_SHARE
    if pending.route.kind is model.Kind.STREAM:
        share = MOVE_SHARE
    due = pending.tries[-1].at + share * pending.route.goal_s
    return min(pending.ends_at, max(due, now + RECHECK_S))


def stall_s(pending):
    """Return the pause after which a stream counts as silent, s."""
    return max(STALL_LEAST_S, STALL_GAPS * pending.route.gap_s)


def may_go_on(host, pending, now):
    """Say whether one more server may get this request."""
    if not pending.route.repeatable:
        return False
    if pending.ends_at - now < WORTH_SENDING_S:
        return False
    if _counted(host, pending) >= pending.route.tries:
        return False
    if quarantine.condemned(host, pending.request.digest, now):
        return False
    tried = {attempt.sid for attempt in pending.tries}
    if not _others(host, pending.service, tried, now):
        return False
    return budget.may_repeat(host, pending.service, now)


def _counted(host, pending):
    """Return how many servers a request was sent to that still live."""
    lost = sum(1 for attempt in pending.tries
               if attempt.over and attempt.fresh_tokens >= 0
               and _is_lost(host, attempt.sid))
    return pending.sent - lost


def _is_lost(host, sid):
    """Say whether a server is known to be gone or out of reach.

    One that left the list serves on for a while: taken for lost, it let a
    stream that it had run begin on a third server where two are allowed.
    """
    target = host.servers.get(sid)
    return target is not None and target.unreached


def _others(host, service, tried, now):
    return any(state.server.sid not in tried
               and not leaving.is_leaving(host, state.server)
               and choosing.is_free(host, state, now)
               for state in host.by_service.get(service, ()))
