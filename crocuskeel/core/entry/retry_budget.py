"""Retry budget: this host's share of a limit for all hosts.

In any window a service may get retries for a share of its requests, plus
a constant slack, summed over all hosts. A host uses the share of its own
requests and an equal part of the slack, so the sum holds without any
communication. Every request that is sent once more counts as a retry,
hedged and moved ones included.

A host that has just started doesn't know the retries of its former process,
nor how many hosts share the slack until it has read their list. Its part of
the slack grows over one window, so that hosts that are killed again and again
keep within the limit, too.
"""

import collections

__all__ = ["may_retry", "note_request", "note_retry", "request_rate"]

# Share of its budget that a host uses: windows slide, and peers that are
# not heard of for a moment still use theirs.
USED_SHARE = 0.7


def note_request(host, service, now):
    """Count a caller's request for a service."""
    _recent(host, host.arrivals, service, now).append(now)


def note_retry(host, service, now):
    """Count a request that is sent once more."""
    _recent(host, host.repeats, service, now).append(now)


def may_retry(host, service, now):
    """Say whether one more retry stays within this host's budget."""
    cfg = host.cfg
    arrivals = len(_recent(host, host.arrivals, service, now))
    retries = len(_recent(host, host.repeats, service, now))
    budget = cfg.repeat_share * arrivals + _slack(host, now)
    return retries + 1 <= USED_SHARE * budget


def _slack(host, now):
    """Return this host's part of the slack."""
    if not host.hosts_listed:
        return 0.0
    share = min(1.0, (now - host.started_at) / host.cfg.repeat_window_s)
    return share * host.cfg.repeat_slack / (1 + len(host.peers))


def request_rate(host, span_s, now):
    """Return callers' requests per second over the last ``span_s``."""
    since = now - span_s
    total = 0
    for times in host.arrivals.values():
        for at in reversed(times):
            if at <= since:
                break
            total += 1
    return total / span_s


def _recent(host, times_by_service, service, now):
    times = times_by_service.setdefault(service, collections.deque())
    while times and times[0] < now - host.cfg.repeat_window_s:
        times.popleft()
    return times
