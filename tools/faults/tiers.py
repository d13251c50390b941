"""Verdicts on tiers and classes: protected, and none starves."""

import collections

from tools.faults import load as loads

__all__ = ["no_starving", "protected"]

GRANT_S = 0.25
WINDOW_S = 10.0


def protected(seen, new_finding):
    """No waiting lower tier is granted right after a higher was shed.

    Grants for a class's floor are its share by the settings. A suspect
    of a crash waits and is shed apart from its tier.
    """
    out = new_finding("no higher tier is shed in favour of a lower one")
    grants = collections.defaultdict(list)
    for row in seen.rows:
        if row.kind == "granted" and row.fields.get("reason") == "tier":
            grants[(row.host, row.fields["cell"])].append(row)
    for row in seen.rows:
        if row.kind != "shed" or row.fields["suspect"]:
            continue
        if row.fields["reason"] not in ("overload", "queue_full"):
            continue
        favoured = [other for other in
                    grants[(row.host, row.fields["cell"])]
                    if _in_favour(row, other)]
        out.judge(not favoured, f"{row} while {favoured[:1]}")
    return out


def _in_favour(shed, grant):
    gap = grant.ts - shed.ts
    return (grant.fields["tier"] > shed.fields["tier"]
            and 0.0 < gap <= GRANT_S and grant.fields["waited_s"] > gap)


def no_starving(seen, new_finding):
    """Each class that waited gets an answer in each 10 s."""
    out = new_finding("no class starves")
    begin = min((ask.began for ask in seen.asks), default=0.0)
    end = max((ask.began for ask in seen.asks), default=0.0)
    for mix in loads.CLASSES:
        asks = [ask for ask in seen.asks
                if ask.class_name == mix.class_name]
        at = begin
        while at + WINDOW_S <= end:
            waiting = [ask for ask in asks if ask.began < at + WINDOW_S / 2
                       and (ask.ended or end) > at]
            served = any(ask.verdict == "right"
                         and at <= ask.ended <= at + WINDOW_S
                         for ask in asks)
            if waiting:
                out.judge(served, f"{mix.class_name} at "
                          f"{at - begin:.0f} s: {len(waiting)} waiting")
            at += WINDOW_S
    return out
