"""The verdicts: one line a promise, with cases and violations."""

import collections
import dataclasses

from tools.faults import load as loads
from tools.faults import script
from tools.faults import tiers

__all__ = ["Evidence", "Finding", "show"]

IN_FORCE_S = 4.0
MOST_CRASHES = 2
SHOWN = 5
DRAIN_SLACK_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """All that was seen; ``runs`` are (role, name, counts)."""

    asks: list
    runs: list
    samples: list
    facts: script.Facts
    rows: list
    control_rows: list


@dataclasses.dataclass(slots=True)
class Finding:
    """A promise's cases and violations, each with its story."""

    promise: str
    cases: int = 0
    violations: list = dataclasses.field(default_factory=list)

    def judge(self, right, story):
        """Count a case; ``story`` is kept if it was a violation."""
        self.cases += 1
        if not right:
            self.violations.append(story)


def _whole(seen):
    out = Finding("each caller gets the whole answer to its own request")
    for ask in seen.asks:
        stuck = any(each.end == "stuck" for each in ask.tries)
        if stuck or ask.verdict != "refused":
            out.judge(ask.verdict == "right" and not stuck, ask.brief())
    return out


def _runs_by_key(seen):
    ran = collections.Counter()
    for role, _name, counts in seen.runs:
        ran.update(counts["by_idempotency_key"] if role == "engine"
                   else counts)
    return ran


def _not_run(seen):
    out = Finding("refused as not run: it was not run")
    ran = _runs_by_key(seen)
    for ask in seen.asks:
        if ask.verdict != "refused" or ask.last.outcome != "not_run":
            continue
        # A repeatable request may have run for an earlier try, which
        # said so or was cut.
        earlier = any(each.end in ("cut", "stuck", "failed")
                      or each.outcome in ("ran", "unknown")
                      for each in ask.tries[:-1])
        if ask.booking or not earlier:
            out.judge(ran[ask.key] == 0, f"{ran[ask.key]} runs: {ask.brief()}")
    return out


def _once(seen):
    out = Finding("a non-repeatable request runs at most once")
    ran = _runs_by_key(seen)
    for ask in seen.asks:
        if not ask.booking or not ask.tries:
            continue
        count = ran[ask.key]
        right = count == 1 if ask.verdict == "right" else count <= 1
        out.judge(right, f"{count} runs: {ask.brief()}")
    return out


def _leaving(seen):
    out = Finding("a leaving server gets no new work after 3 s")
    for each in seen.facts.leaving:
        if each.elsewhere:
            out.judge(each.after == each.before, str(each))
    return out


def _drain(seen):
    out = Finding("a planned stop cuts off no request in progress")
    facts = seen.facts
    for ask in seen.asks:
        for each in ask.tries:
            if _was_held(each, facts):
                out.judge(each.end not in ("cut", "failed", "stuck"),
                          f"{each} of {ask.key} {ask.class_name}")
    if out.cases and facts.drain_code != 0:
        out.violations.append(f"{facts.drained}: {facts.drain_code}")
    return out


def _was_held(attempt, facts):
    return (attempt.host == facts.drained and attempt.end != "unreached"
            and attempt.began < facts.drain_at - DRAIN_SLACK_S
            and attempt.ended > facts.drain_at)


def _settings(seen):
    out = Finding("accepted settings: in force within 4 s, never back")
    newest = collections.defaultdict(int)
    for sample in seen.samples:
        right = sample.generation >= newest[sample.host]
        out.judge(right, f"back from {newest[sample.host]}: {sample}")
        newest[sample.host] = max(newest[sample.host], sample.generation)
    accepted = seen.facts.accepted
    if not accepted or len(accepted) < seen.facts.races:
        out.violations.append(f"accepted {accepted}")
    if seen.facts.rejected != seen.facts.races:
        out.violations.append(
            f"{seen.facts.rejected} of {seen.facts.races} racing batches "
            "were refused")
    for generation, at in accepted:
        _in_force(seen, out, generation, at)
    return out


def _in_force(seen, out, generation, at):
    for host in sorted({sample.host for sample in seen.samples}):
        after = [sample for sample in seen.samples
                 if sample.host == host and sample.sent_at > at + IN_FORCE_S]
        if after and not _is_down(seen.facts, host, at, after[0].at):
            out.judge(after[0].generation >= generation,
                      f"{generation} accepted at {at}: {after[0]}")


def _is_down(facts, host, begin, end):
    return any(name == host and since < end and begin < until
               for name, since, until in facts.down)


def _poison(seen):
    out = Finding("one poison request crashes at most 2 engines")
    for prompt in script.POISONS:
        crashes = [name for role, name, counts in seen.runs
                   if role == "engine"
                   for key, count in counts["by_idempotency_key"].items()
                   if key.startswith(prompt + "#") for _ in range(count)]
        if crashes:
            out.judge(len(crashes) <= MOST_CRASHES,
                      f"{prompt} crashed {crashes}")
    return out


def _orders(seen):
    out = Finding("a woken holder of the control lease gives no order")
    facts = seen.facts
    if not facts.paused_control or not facts.woken_ts:
        return out
    fence = 0
    for row in seen.control_rows:
        if row.kind == "lease_acquired":
            fence = max(fence, row.fields["fence"])
        if row.kind == "order_sent":
            out.judge(row.fields["fence"] >= fence, str(row))
    taken = [row for row in seen.control_rows
             if row.kind == "lease_acquired"
             and row.host != facts.paused_control
             and row.ts < facts.woken_ts]
    if not taken:
        out.violations.append("nobody took the lease over")
    return out


def show(seen):
    """Print a line a promise; return the exit code."""
    findings = [tiers.protected(seen, Finding), tiers.no_starving(
        seen, Finding), _whole(seen), _not_run(seen), _once(seen),
        _leaving(seen), _drain(seen), _settings(seen), _poison(seen),
        _orders(seen)]
    _print_load(seen)
    broken = [step for step in seen.facts.steps if step[-1] != "done"]
    for each in findings:
        good = each.cases and not each.violations
        print(f"{'ok    ' if good else 'FAILED'} {each.promise}: "
              f"{each.cases} cases, {len(each.violations)} violations")
        for story in each.violations[:SHOWN]:
            print(f"         {story}")
    return int(bool(broken) or any(
        each.violations or not each.cases for each in findings))


def _print_load(seen):
    for mix in loads.CLASSES:
        asks = [a for a in seen.asks if a.class_name == mix.class_name]
        words = collections.Counter(a.verdict or "missing" for a in asks)
        codes = collections.Counter(
            a.last.code for a in asks if a.verdict == "refused")
        tries = sum(len(a.tries) for a in asks)
        print(f"  {mix.class_name:20} {len(asks)} asks, {tries} tries, "
              f"{dict(words)} {dict(codes)}")
