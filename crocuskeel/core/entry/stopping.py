"""What a host that is stopping still takes, and when it has to exit.

The load that it answers: callers that still come to a host although it has
announced that it leaves, as they keep addresses and connections. A request
that would outlast the host would be broken off under way, and one that
mayn't be repeated would be lost; at another host it is served whole. So a
request is refused if it isn't expected to end in time, and all others are
served.
"""

from crocuskeel.core.entry import durations
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import fleet

__all__ = ["EXIT_MARGIN_S", "begin", "ends_at", "log_fields", "must_refuse",
           "refuse"]

# The process exits this long before it would be killed, s, and earlier by
# how late its events were handled lately, up to a share of the grace period.
EXIT_MARGIN_S = 0.25
MAX_LATE_SHARE = 0.1


def begin(host, asked_at, now):
    """Begin the stop that was asked for at a time.

    A pause with which the grace period began is no lateness besides.
    """
    host.stop_at = asked_at
    late_s = max(0.0, host.late_s - (now - asked_at))
    host.exit_margin_s = EXIT_MARGIN_S + min(
        late_s, MAX_LATE_SHARE * host.cfg.grace_s)


def ends_at(host):
    """Return by when this host, which is stopping, exits."""
    return host.stop_at + host.cfg.grace_s - host.exit_margin_s


def _expected_s(host, pending, now):
    """Return the time that a request is expected to take from now, s."""
    limit_s = pending.deadline_at - now
    expected_s = durations.expected_s(host.known_durations, pending)
    return limit_s if expected_s is None else min(limit_s, expected_s)


def must_refuse(host, pending, now):
    """Return whether a request would outlast this host.

    One that may have run can't be refused as not run.
    """
    if (host.stop_at is None or pending.may_have_run
            or pending.fallback is not None
            or ending.active_attempts(pending)):
        return False
    return now + _expected_s(host, pending, now) > ends_at(host)


def refuse(host, pending, now):
    """Refuse a request as not run; return effects.

    Its caller is to ask another host at once. If none serves, it is to come
    back once this one has ended, as others may have started by then.
    """
    delay_s = 0.0
    if not fleet.caller_addresses(host, now):
        delay_s = max(0.0, ends_at(host) - now)
    expected_s = _expected_s(host, pending, now)
    ending.finish(host, pending)
    line = ending.log_line(
        "refused_by_stop", pending.request, route=pending.route.name,
        expected_s=round(expected_s, 3),
        waited_s=round(now - pending.arrived_at, 3),
        **log_fields(host, now))
    return [ending.refuse(pending.key, pending.deadline_at - now, "stopping",
                          delay_s), line]


def log_fields(host, now):
    """Return the fields of a log line about a request that is sent.

    ``stop_s`` is the time since the stop, and ``ends_in_s`` until the exit;
    none if this host isn't stopping.
    """
    if host.stop_at is None:
        return {}
    return {"stop_s": round(now - host.stop_at, 3),
            "ends_in_s": round(ends_at(host) - now, 3)}
