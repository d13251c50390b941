"""The checks of prompts with a part that crashes each engine.

No two requests with the part are alike; others share their other parts.
"""

import collections

from tools.soak import engine

__all__ = ["check_parts", "is_bad"]

# From KNOWN_S after the fifth crash MAX_LATE requests with a part may reach
# engines. From SETTLED_S after it, while such requests come, the others with a
# prompt begin MIN_SHARE as often as before the first one; of MIN_COUNT each.
FIFTH = 4
KNOWN_S = 3.0
MAX_LATE = 3
SETTLED_S = 6.0
MIN_SHARE = 0.5
MIN_COUNT = 20


def is_bad(request):
    """Return whether a request crashes engines by a part of its prompt."""
    return request.body.startswith(engine.BAD_PART)


def check_parts(record, kinds):
    """Return violations by requests with bad parts, and beside them."""
    errors = []
    crashes = collections.defaultdict(list)
    for part, at in record.part_crashes:
        crashes[part].append(at)
    for part, times in crashes.items():
        if len(times) <= FIFTH:
            continue
        late = [at for found, rid, at in record.part_arrivals
                if found == part and at > times[FIFTH] + KNOWN_S
                and _is_in_touch(record, record.sent[rid].ip, at)]
        if len(late) > MAX_LATE:
            errors.append(f"{part.decode()}: {len(late)} requests reached "
                          f"engines up to {late[-1] - times[FIFTH]:.1f} s "
                          "after the fifth crash")
        errors += _check_others(record, kinds, part, times)
    return errors


def _check_others(record, kinds, part, times):
    """Check that requests without the part begin while it is refused."""
    last_at = max(sent.at for sent in record.sent.values()
                  if is_bad(sent.request))
    before, after = [], []
    for sent in record.sent.values():
        if sent.request.kind not in kinds or is_bad(sent.request) or (
                sent.request.body.startswith(engine.POISON)):
            continue
        if sent.reply.abandoned or not record.is_undisturbed(
                sent.at, sent.ended_at, sent.ip, "store", "engines"):
            continue
        if sent.at < times[0]:
            before.append(bool(sent.reply.body and sent.reply.status == 200))
        elif times[FIFTH] + SETTLED_S < sent.at < last_at:
            after.append(bool(sent.reply.body and sent.reply.status == 200))
    if min(len(before), len(after)) < MIN_COUNT:
        return []
    shares = [sum(rows) / len(rows) for rows in (before, after)]
    if shares[1] >= MIN_SHARE * shares[0]:
        return []
    return [f"{part.decode()}: {shares[1]:.2f} of the requests without it "
            f"begin, {shares[0]:.2f} before"]


def _is_in_touch(record, ip, at):
    return record.is_undisturbed(at, at, ip, "store", "store " + ip)
