"""Estimates how the prefill of prompts delays the streams of an engine.

An engine prefills a prompt between the decode steps of its running
streams, and all of them pause meanwhile. A stream with a longer pause
than its route allows is late, however early it began. So streams that
allow short pauses only and prompts with a long prefill are kept on
different engines, without a fixed split: a long prompt goes where it
makes the fewest streams late, and a stream where no long prompt was
prefilled lately. The two groups of engines follow the load, and an engine
that is the only one left serves both.
"""

import math

from crocuskeel.core.entry import pause_estimate

__all__ = ["change_count", "expected_pause_s", "is_at_risk",
           "late_probability", "late_streams", "note_prefill",
           "note_stream_ended", "note_stream_sent"]

# An expected pause is taken to be on time up to this share of the longest
# allowed one, and certainly late at the full length: estimates of prefill
# times are off by a third.
SAFE_SHARE = 0.5
# Time constant with which the expected pause decays after the prefill of a
# long prompt, s: streams run for one to three seconds.
PAUSE_DECAY_S = 2.0


def _lateness(share):
    """Return the probability that a pause of a share of its limit is late."""
    return min(1.0, max(0.0, (share - SAFE_SHARE) / (1.0 - SAFE_SHARE)))


def note_stream_sent(state, route):
    """Count a stream that was sent to an engine."""
    change_count(state.streams_by_gap, _group(route), 1)


def note_stream_ended(state, route):
    """Remove a stream that has ended from the counts."""
    change_count(state.streams_by_gap, _group(route), -1)


def _group(route):
    return route.priority, round(route.gap_s * 1000)


def change_count(counts, group, change):
    """Change a count of streams by (priority, allowed pause in ms)."""
    total = counts.get(group, 0) + change
    if total > 0:
        counts[group] = total
    else:
        counts.pop(group, None)


def note_prefill(state, ahead_s, now):
    """Note that an engine has queued prompts to prefill for ``ahead_s``."""
    state.expected_pause_s = max(ahead_s, expected_pause_s(state, now))
    state.expected_pause_at = now


def expected_pause_s(state, now):
    """Return the expected pause of an engine's streams, s."""
    if not state.expected_pause_s:
        return 0.0
    return state.expected_pause_s * math.exp(
        (state.expected_pause_at - now) / PAUSE_DECAY_S)


def late_streams(state, estimate, ahead_s, prefill_s, least_urgent=math.inf):
    """Return how many streams of an engine one more prompt makes late.

    ``ahead_s`` is the time to prefill what is queued at the engine,
    ``prefill_s`` that of the prompt; ``estimate`` is the PauseEstimate of
    the service. Counts streams of priority ``least_urgent`` or a more
    urgent one.
    """
    total = 0.0
    for gaps in (state.streams_by_gap, state.peer_loads.streams_by_gap):
        for (priority, gap_ms), streams in gaps.items():
            # Other hosts may round it to 0.
            gap_s = max(1, gap_ms) / 1000
            if priority > least_urgent or not pause_estimate.may_exceed(
                    estimate, gap_s):
                continue
            total += streams * (_lateness((ahead_s + prefill_s) / gap_s)
                                - _lateness(ahead_s / gap_s))
    return total


def late_probability(state, estimate, route, now):
    """Return the probability that pauses make a route's stream late."""
    if not pause_estimate.may_exceed(estimate, route.gap_s):
        return 0.0
    return _lateness(expected_pause_s(state, now) / route.gap_s)


def is_at_risk(states, estimate, route, now):
    """Say whether the prefill of long prompts can make such streams late."""
    if not pause_estimate.may_exceed(estimate, route.gap_s):
        return False
    longest_s = max((expected_pause_s(state, now) for state in states),
                    default=0.0)
    return _lateness(longest_s / route.gap_s) > 0.0
