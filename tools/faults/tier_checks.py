"""Checks that tiers are shed in order and that no class starves."""

import collections

from tools.faults import load as loads

__all__ = ["check_shedding_order", "check_starvation"]

GRANT_WINDOW_S = 0.25
STARVATION_WINDOW_S = 10.0


def check_shedding_order(results, new_check):
    """Check that shedding a higher tier favours no waiting lower tier.

    A request of the lower tier that was already waiting must not be
    granted within GRANT_WINDOW_S after the shedding.

    Grants for a class's floor don't count, since the settings guarantee
    that share. Requests suspected of causing a crash don't count either:
    they are queued and shed separately from their tier.
    """
    check = new_check("no higher tier is shed in favour of a lower one")
    grants = collections.defaultdict(list)
    for event in results.entry_events:
        if event.kind == "granted" and event.fields.get("reason") == "tier":
            grants[(event.host, event.fields["cell"])].append(event)
    for event in results.entry_events:
        if event.kind != "shed" or event.fields["suspect"]:
            continue
        if event.fields["reason"] not in ("overload", "queue_full"):
            continue
        favoured = [grant for grant in
                    grants[(event.host, event.fields["cell"])]
                    if _in_favour(event, grant)]
        check.record(not favoured, f"{event} while {favoured[:1]}")
    return check


def _in_favour(shed, grant):
    delay_s = grant.ts - shed.ts
    return (grant.fields["tier"] > shed.fields["tier"]
            and 0.0 < delay_s <= GRANT_WINDOW_S
            and grant.fields["waited_s"] > delay_s)


def check_starvation(results, new_check):
    """Check that a class with waiting requests is served in each 10 s."""
    check = new_check("no class starves")
    first_start = min((request.started_at for request in results.requests),
                      default=0.0)
    last_start = max((request.started_at for request in results.requests),
                     default=0.0)
    for traffic in loads.TRAFFIC_CLASSES:
        requests = [request for request in results.requests
                    if request.class_name == traffic.class_name]
        window_start = first_start
        while window_start + STARVATION_WINDOW_S <= last_start:
            waiting = [request for request in requests
                       if request.started_at
                       < window_start + STARVATION_WINDOW_S / 2
                       and (request.ended_at or last_start) > window_start]
            served = any(request.verdict == "right"
                         and window_start <= request.ended_at
                         <= window_start + STARVATION_WINDOW_S
                         for request in requests)
            if waiting:
                check.record(
                    served, f"{traffic.class_name} at "
                    f"{window_start - first_start:.0f} s: "
                    f"{len(waiting)} waiting")
            window_start += STARVATION_WINDOW_S
    return check
