"""The protocol's numbers and how they follow the fleet's size.

Spans are seconds. Up to ``SMALL`` hosts a host that dies is declared
dead by all in under 3 s, and one that pauses for 2 s is not: a suspect
has ``probe_span + suspicion_span`` = 2.35 s from its last answer to deny
it, and a dead host is probed by its ring predecessor within two periods.
"""

import math

__all__ = [
    "BELIEVED_SHARE", "CONTACTS_ALONE", "DEAD_KEPT", "DEAD_KEPT_S",
    "DIRECT_SHARE", "EXTRA_GOSSIP", "FANOUT", "HELPERS", "LATE_S",
    "MAX_DOUBT", "MAX_FORGIVEN", "MAX_SYNCS", "REPEAT_S", "RETRY_S",
    "SYNC_DATAGRAMS", "UPDATES_BYTES", "max_sends", "period",
    "probe_span", "suspicion_span",
]

SMALL = 9
PERIOD_S = 0.25
PERIOD_STEP_S = 0.13
MAX_PERIOD_S = 1.0
PROBE_S = 0.5
SUSPICION_S = 1.85
# Share of the suspicion's span after which others' word of a death is
# taken.
BELIEVED_SHARE = 0.5
# Share of the probe's span after which helpers are asked.
DIRECT_SHARE = 0.4
HELPERS = 3
# Each update is sent SENDS * ln(n + 1) times by each host.
SENDS = 3
# Urgent news goes to this many hosts at once, and again after a while.
FANOUT = 8
REPEAT_S = 0.1
# Further datagrams a period while more updates wait than fit in one.
EXTRA_GOSSIP = 2
# Bytes of updates in one datagram: with sealing, names and the batch's
# own fields it stays below 1200 bytes.
UPDATES_BYTES = 880
# A timer this late means that this host itself stood still. Shorter
# pauses don't matter: a probe only fails on its second timer.
LATE_S = 0.25
MAX_DOUBT = 3
MAX_FORGIVEN = 2
# Hosts that are no live members are tried one in this span.
RETRY_S = 2.0
CONTACTS_ALONE = 3
DEAD_KEPT_S = 2 * 3600.0
DEAD_KEPT = 1024
MAX_SYNCS = 8
SYNC_DATAGRAMS = 4


def _doublings(hosts):
    return max(0.0, math.log2(max(hosts, 1) / SMALL))


def period(hosts):
    """Return the span between two probes of one host."""
    return min(MAX_PERIOD_S,
               PERIOD_S + PERIOD_STEP_S * _doublings(hosts))


def probe_span(hosts, doubt):
    """Return how long a probe may stay without an answer."""
    scale = period(hosts) / PERIOD_S
    return PROBE_S * math.sqrt(scale) * (1 + doubt)


def suspicion_span(hosts, doubt):
    """Return how long a suspect has to deny it: grows with log n."""
    scale = 1 + _doublings(hosts) / math.log2(SMALL)
    return SUSPICION_S * scale * (1 + doubt)


def max_sends(hosts):
    """Return how often a host sends the same update."""
    return math.ceil(SENDS * math.log(hosts + 1))
