"""Quarantine of prompts with parts that crash the servers that answer them.

Such prompts come at any host, and no two of them are alike. Once a part is
shown to be a cause (:mod:`crocuskeel.core.part_causes`), prompts with it are
refused, by default for a minute; after that one of them runs in the whole
fleet (:mod:`crocuskeel.core.entry.trials`). If its server crashes as well, the
next refusal is twice as long; an answer ends it.

Prompts with a suspect run one at a time, too.

Of parts that were in the same crashes any may be the cause. Prompts with all
of them are refused, and those with some run one at a time: an answer or a
crash tells these parts from the others.
"""

import heapq

from crocuskeel.core.entry import crash_attribution
from crocuskeel.core.entry import crash_records as records
from crocuskeel.core.entry import fleet
from crocuskeel.core import part_causes

__all__ = ["blamed_ids", "has_undecided", "standing_reports", "time_left_s",
           "trial_key"]

# First quarantine of a part, s; it doubles with each run that fails.
QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 600.0
# So many crashes back a verdict, also if several were at one moment.
STANDING_CRASHES = max(part_causes.MIN_EVENTS_IF_SOUND,
                       part_causes.MANY_CRASHES)
# A host that starts gets the crashes that back a verdict about so often, from
# all others together, per second.
STANDING_COPIES_S = 16.0


def time_left_s(host, keys, now):
    """Return the time left of the quarantine of a prompt's parts, s."""
    left_s = 0.0
    for cause in _causes(host, keys):
        if cause.parts <= set(keys) and not cause.is_suspect:
            span_s = min(QUARANTINE_S * 2 ** (cause.rounds - 1),
                         MAX_QUARANTINE_S)
            left_s = max(left_s, cause.last_at + span_s - now)
    return left_s


def trial_key(host, keys):
    """Return the part for which a prompt may only run alone, or ""."""
    found = {key for cause in _causes(host, keys) for key in keys
             if key in cause.parts}
    return min(found, default="")


def has_undecided(host, key):
    """Return whether servers may have crashed under prompts with a part."""
    known = host.crash_records
    return any(key in known.parts.get(loss.digest, ())
               for loss in known.losses
               if not (loss.silent or loss.doubtful))


def blamed_ids(host, pending):
    """Return the ids of a prompt's parts that are quarantined."""
    blamed = {key for cause in _causes(host, pending.part_keys)
              for key in cause.parts}
    return [name for name, key in zip(pending.request.prompt.shared_ids,
                                      pending.part_keys) if key in blamed
            ] if blamed else []


def standing_reports(host, now):
    """Return reports on crashes under parts that are quarantined.

    Of each part the latest crashes, with no other parts. Some states have
    none, as each host sends them to many others.
    """
    known = host.crash_records
    causes = crash_attribution.causes(host).parts
    if not causes:
        return ()
    contacts = min(len(fleet.serving_hosts(host, now)) - 1, fleet.MAX_FANOUT)
    if host.rng.random() * contacts > (
            STANDING_COPIES_S * fleet.STATE_INTERVAL_S):
        return ()
    found = []
    for cause in causes:
        parts = tuple(sorted(cause.parts))
        rows = [records.Report(records.Kind.CRASHED, at, digest,
                               incarnation=incarnation, sign=crash.sign,
                               parts=parts)
                for incarnation in cause.crashes
                if (crash := known.crashes.get(incarnation)) is not None
                for digest, at in crash.lost.items()
                if cause.parts.intersection(known.parts.get(digest, ()))]
        found += heapq.nlargest(STANDING_CRASHES, rows,
                                key=lambda report: report.at)
    return tuple(found)


def _causes(host, keys):
    """Return the causes that have any of these parts."""
    if not keys:
        return []
    return [cause for cause in crash_attribution.causes(host).parts
            if not cause.parts.isdisjoint(keys)]
