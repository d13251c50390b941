"""Which requests caused crashes, by what was in progress in each of them.

A request that crashes each server which runs it is in progress in all the
crashes that it causes. Others are in progress beside it, some of them twice as
they are retried. So a request is a cause only if none of those beside it was
in as many crashes, and the crashes that a cause explains count against no
other request.
"""

import collections
import dataclasses

__all__ = ["Causes", "MIN_CRASHES", "NO_CAUSES", "attribute"]

# Crashes under one request after which it may be their cause: a server may
# also crash for a reason of its own.
MIN_CRASHES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Causes:
    """Requests and their numbers of crashes.

    ``culprits`` are causes. ``suspects`` were together in several crashes,
    any of them may be their cause.
    """

    culprits: dict
    suspects: dict


NO_CAUSES = Causes({}, {})


def attribute(crashes):
    """Return the Causes of crashes, given as sets of requests."""
    crashes = [set(requests) for requests in crashes]
    culprits = {}
    while True:
        counts = _repeated(crashes)
        found = {request: count for request, count in counts.items()
                 if _is_sole(request, count, counts, crashes)}
        if not found:
            return Causes(culprits, counts)
        culprits.update(found)
        crashes = [requests for requests in crashes
                   if requests.isdisjoint(found)]


def _repeated(crashes):
    counts = collections.Counter(
        request for requests in crashes for request in requests)
    return {request: count for request, count in counts.items()
            if count >= MIN_CRASHES}


def _is_sole(request, count, counts, crashes):
    """Return whether no request beside this one was in as many crashes."""
    return all(counts.get(other, 0) < count
               for requests in crashes if request in requests
               for other in requests if other != request)
