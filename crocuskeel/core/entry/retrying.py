"""When a request is checked again, and may be sent to another server."""

from crocuskeel.core.entry import draining
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import model
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import reachability
from crocuskeel.core.entry import retry_budget
from crocuskeel.core.entry import server_choice

__all__ = ["MIN_SEND_S", "await_answers", "may_send_again", "next_check",
           "stall_limit_s"]

# With less time left than this, no server could complete a request, s.
MIN_SEND_S = 0.02
# A repeatable call is hedged, that is sent to a second server as well,
# once this share of its goal has passed: early enough for a response on
# time.
HEDGE_SHARE = 0.5
# A resumable stream without its first event may be moved once this share
# of its goal has passed, if its engine is silent.
MOVE_SHARE = 0.45
# A resumable stream is moved when it pauses for longer than this multiple
# of its route's longest allowed pause, and for at least so long, s.
STALL_GAP_FACTOR = 1.0
MIN_STALL_S = 0.4
# A request that may not be moved yet is checked again after this, s.
RECHECK_S = 0.1


def next_check(pending, now):
    """Return when to check the request again."""
    if not pending.route.repeatable:
        return pending.deadline_at
    if pending.attempts[-1].opened:
        due = max(now + RECHECK_S,
                  pending.last_event_at + stall_limit_s(pending))
        return min(pending.deadline_at, due)
    share = HEDGE_SHARE
    if pending.route.kind is model.Kind.STREAM:
        share = MOVE_SHARE
    due = pending.attempts[-1].sent_at + share * pending.route.target_s
    return min(pending.deadline_at, max(due, now + RECHECK_S))


def await_answers(pending, now):
    """Leave a request with the servers that may be running it."""
    return [effects.SetRequestTimer(pending.key, next_check(pending, now))]


def stall_limit_s(pending):
    """Return the pause after which a stream counts as stalled, s."""
    return max(MIN_STALL_S, STALL_GAP_FACTOR * pending.route.gap_s)


def may_send_again(host, pending, now):
    """Return whether this request may be sent to one more server."""
    if not pending.route.repeatable:
        return False
    if pending.deadline_at - now < MIN_SEND_S:
        return False
    if _servers_used(host, pending) >= pending.max_servers:
        return False
    if (quarantine.pending_time_left_s(host, pending, now) > 0
            or quarantine.must_wait(
                host, pending, quarantine.trial_key(host, pending), now)):
        return False
    if pending.forwarded_attempt is not None and pending.origin is None:
        # Another host relays the stream, and alone knows where it began.
        return False
    if not (_has_untried_server(host, pending, now)
            or reachability.may_relay(host, pending, now)):
        return False
    return retry_budget.may_retry(host, pending.service, now)


def _servers_used(host, pending):
    """Return how many servers a request was sent to, but for lost ones."""
    lost = sum(1 for attempt in pending.attempts
               if attempt.ended and attempt.uncached_tokens >= 0
               and _is_lost(host, attempt))
    return pending.servers_used - lost


def _is_lost(host, attempt):
    """Return whether an attempt's server got out of reach under it.

    A server that was removed from the list still runs its requests for a
    while. If it counted as lost, a stream that it had run could start on
    a third server where two are allowed.
    """
    target = host.servers.get(attempt.sid)
    return (target is not None and not attempt.answered
            and target.unreachable_at >= attempt.sent_at)


def _has_untried_server(host, pending, now):
    tried = ending.tried_servers(pending)
    return any(state.server.sid not in tried
               and pending.may_go_to(state.server)
               and not draining.is_draining(host, state.server)
               and server_choice.is_available(host, state, now)
               for state in host.by_service.get(pending.service, ()))
