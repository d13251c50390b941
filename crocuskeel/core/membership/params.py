"""Protocol parameters and how they scale with the number of hosts.

Durations are in seconds. With up to ``BASE_HOSTS`` hosts, a host that
dies is declared dead by all others in under 3 s, and a host that pauses
for 2 s is not: a suspect has ``probe_timeout + suspicion_timeout`` =
2.35 s from its last answer to refute the suspicion, and a dead host is
probed by its ring predecessor within two periods.
"""

import math

__all__ = [
    "CONTACTS_WITHOUT_PEERS", "DEAD_RETENTION_S", "DEATH_ACCEPTANCE_SHARE",
    "DIRECT_PROBE_SHARE", "EXTRA_GOSSIP_TARGETS", "HELPERS", "MAX_DEAD_HOSTS",
    "MAX_HEALTH_SCORE", "MAX_IGNORED_FAILURES", "MAX_SYNCS",
    "MAX_UPDATE_BYTES", "PAUSE_THRESHOLD_S", "RECONNECT_INTERVAL_S",
    "SYNC_DATAGRAMS", "URGENT_FANOUT", "URGENT_REPEAT_S", "probe_period",
    "probe_timeout", "retransmit_limit", "suspicion_timeout",
]

BASE_HOSTS = 9
PERIOD_S = 0.25
PERIOD_STEP_S = 0.13
MAX_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.5
SUSPICION_TIMEOUT_S = 1.85
# Fraction of the suspicion timeout after which another host's report of
# a death is accepted.
DEATH_ACCEPTANCE_SHARE = 0.5
# Fraction of the probe timeout after which helpers are asked to probe
# indirectly.
DIRECT_PROBE_SHARE = 0.4
HELPERS = 3
# Each host sends an update RETRANSMIT_FACTOR * ln(n + 1) times.
RETRANSMIT_FACTOR = 3
# Urgent updates go to this many hosts immediately and once more after
# URGENT_REPEAT_S.
URGENT_FANOUT = 8
URGENT_REPEAT_S = 0.1
# Extra datagrams per period while more updates are queued than fit in
# one.
EXTRA_GOSSIP_TARGETS = 2
# Bytes of updates in one datagram: with encryption, names and the other
# fields of the batch the datagram stays below 1200 bytes.
MAX_UPDATE_BYTES = 880
# A timer that fires this late means that this process was paused.
# Shorter pauses don't matter: a probe only fails on its second timer.
PAUSE_THRESHOLD_S = 0.25
MAX_HEALTH_SCORE = 3
MAX_IGNORED_FAILURES = 2
# One host that is not a live member is contacted per interval.
RECONNECT_INTERVAL_S = 2.0
CONTACTS_WITHOUT_PEERS = 3
DEAD_RETENTION_S = 2 * 3600.0
MAX_DEAD_HOSTS = 1024
MAX_SYNCS = 8
SYNC_DATAGRAMS = 4


def _doublings(hosts):
    return max(0.0, math.log2(max(hosts, 1) / BASE_HOSTS))


def probe_period(hosts):
    """Return the interval between two probes sent by one host."""
    return min(MAX_PERIOD_S,
               PERIOD_S + PERIOD_STEP_S * _doublings(hosts))


def probe_timeout(hosts, health_score):
    """Return how long a probe waits for an answer."""
    scale = probe_period(hosts) / PERIOD_S
    return PROBE_TIMEOUT_S * math.sqrt(scale) * (1 + health_score)


def suspicion_timeout(hosts, health_score):
    """Return the time a suspect has to refute; grows with log n."""
    scale = 1 + _doublings(hosts) / math.log2(BASE_HOSTS)
    return SUSPICION_TIMEOUT_S * scale * (1 + health_score)


def retransmit_limit(hosts):
    """Return how many times a host sends the same update."""
    return math.ceil(RETRANSMIT_FACTOR * math.log(hosts + 1))
