"""Online estimates of output lengths.

The most recent lengths of each class and workspace are kept sorted. If
there are too few of them, those of the class are used, then those of the
service. What remains of a running answer is estimated from the lengths
that exceed what it has produced.
"""

import collections
import dataclasses

from sortedcontainers import SortedList

__all__ = ["Estimates", "learn", "mean", "new_estimates", "remaining"]

MAX_SAMPLE_SIZE = 96
MIN_SAMPLE_SIZE = 12
MAX_KEYS = 4096
DEFAULT_TOKENS = 128.0


@dataclasses.dataclass(slots=True)
class _Sample:
    recent: collections.deque
    ordered: SortedList
    total: int = 0


@dataclasses.dataclass(slots=True)
class Estimates:
    """Recent lengths by key, least recently used first."""

    samples: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)


def new_estimates():
    """Return estimates without any length."""
    return Estimates()


def _keys(service, class_name, workspace):
    return ((service, class_name, workspace), (service, class_name),
            (service,))


def learn(estimates, service, class_name, workspace, tokens):
    """Add the length of a finished answer."""
    for key in _keys(service, class_name, workspace):
        _add(estimates.samples, key, tokens)


def _add(samples, key, tokens):
    sample = samples.get(key)
    if sample is None:
        sample = samples[key] = _Sample(collections.deque(), SortedList())
    samples.move_to_end(key)
    if len(samples) > MAX_KEYS:
        samples.popitem(last=False)
    sample.recent.append(tokens)
    sample.ordered.add(tokens)
    sample.total += tokens
    if len(sample.recent) > MAX_SAMPLE_SIZE:
        oldest = sample.recent.popleft()
        sample.ordered.remove(oldest)
        sample.total -= oldest


def _find(estimates, service, class_name, workspace):
    found = None
    for key in _keys(service, class_name, workspace):
        found = estimates.samples.get(key, found)
        if found is not None and len(found.recent) >= MIN_SAMPLE_SIZE:
            return found
    return found


def mean(estimates, service, class_name, workspace, max_tokens=0):
    """Return the expected length in tokens, at most ``max_tokens``."""
    sample = _find(estimates, service, class_name, workspace)
    if sample is None:
        value = DEFAULT_TOKENS if max_tokens else 0.0
    else:
        value = sample.total / len(sample.recent)
    return min(value, max_tokens) if max_tokens else value


def remaining(estimates, service, class_name, workspace, produced):
    """Return the expected tokens still to come after ``produced``."""
    sample = _find(estimates, service, class_name, workspace)
    if sample is None:
        return DEFAULT_TOKENS
    longer = sample.ordered[sample.ordered.bisect_right(produced):]
    if not longer:
        # Longer than any length in the sample. In a heavy-tailed
        # distribution the expected remainder is about the length so far.
        return max(1.0, float(produced))
    return sum(longer) / len(longer) - produced
