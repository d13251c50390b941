"""How often a host may repeat: its part of a bound on the whole fleet.

A service may get, in any window, repeats for a share of its requests and
a slack besides, summed over all hosts. A host takes its own requests'
share and an equal part of the slack, so the sum holds without a call.
"""

import collections

__all__ = ["arrived", "may_repeat", "rate", "repeated"]

# Of its part a host uses this much: windows slide, and hosts that are
# not heard of for a moment use theirs as well.
USED = 0.7


def arrived(host, service, now):
    """Count a caller's request for a service."""
    _within(host, host.arrivals, service, now).append(now)


def repeated(host, service, now):
    """Count a request that is sent once more."""
    _within(host, host.repeats, service, now).append(now)


def may_repeat(host, service, now):
    """Say whether one more repeat keeps within this host's part."""
    cfg = host.cfg
    arrivals = len(_within(host, host.arrivals, service, now))
    repeats = len(_within(host, host.repeats, service, now))
    hosts = 1 + len(host.peers)
    most = cfg.repeat_share * arrivals + cfg.repeat_slack / hosts
    return repeats + 1 <= USED * most


def rate(host, span_s, now):
    """Return callers' requests a second in the last ``span_s``."""
    since = now - span_s
    total = 0
    for times in host.arrivals.values():
        for at in reversed(times):
            if at <= since:
                break
            total += 1
    return total / span_s


def _within(host, counts, service, now):
    times = counts.setdefault(service, collections.deque())
    while times and times[0] < now - host.cfg.repeat_window_s:
        times.popleft()
    return times
