"""For how long callers of streams may come back, over all their tries."""

__all__ = ["LONGEST_LIFE_S", "MARGIN_S", "MAX_LIFE_S", "MAX_LIMIT_S",
           "MAX_ROUTE_LIMIT_S", "limit_s"]

# A caller without a time limit is expected back for this long, s. One with a
# longer limit is, too, unless its route lets a stream last for longer.
MAX_LIMIT_S = 60.0
MAX_ROUTE_LIMIT_S = 1800.0
# A caller's time limit is measured by its own clock and from its sending, s.
MARGIN_S = 1.0
# No stream lasts longer, s, unless its route lets it, and then no longer than
# the second.
MAX_LIFE_S = MAX_LIMIT_S + MARGIN_S
LONGEST_LIFE_S = MAX_ROUTE_LIMIT_S + MARGIN_S


def limit_s(pending):
    """Return for how long the caller of a request is expected back, s."""
    wanted_s = pending.request.deadline_s
    if wanted_s is None:
        return MAX_LIMIT_S
    route_s = min(pending.route.timeout_s, MAX_ROUTE_LIMIT_S)
    return min(wanted_s, max(MAX_LIMIT_S, route_s))
