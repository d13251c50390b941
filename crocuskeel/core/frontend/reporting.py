"""Timeline records and statsd metrics of the entry host."""

from crocuskeel.core import effects

__all__ = ["count", "record", "refused", "served", "timing", "wasted"]


def record(req, kind, now, **extra):
    """Return the timeline Record of one decision about a request."""
    fields = {
        "class": req.policy.name,
        "tier": req.policy.tier,
        "workspace": req.caller.workspace,
        "cell": req.cell,
        "engine": req.engine,
        "attempt": req.attempt,
        "generation": req.policy.generation,
        "waited_s": round(now - req.arrived_at, 6),
    }
    fields.update(extra)
    return effects.Record(kind, req.rid, tuple(fields.items()))


def count(name, value=1):
    """Return a counter increment."""
    return effects.Measure(name, value)


def timing(name, seconds):
    """Return a timing; statsd expects milliseconds."""
    return effects.Measure(name, seconds * 1000.0, "ms")


def refused(class_name, reason):
    """Return the metrics of a refusal or failure."""
    out = [count(f"refused.{reason}")]
    if class_name:
        out.append(count(f"class.{class_name}.refused"))
    return out


def served(req, closed):
    """Return the metrics of a complete answer.

    The target is attained if the time from arrival to the first token
    and the mean time between tokens are both within their targets.
    """
    policy = req.policy
    name = f"class.{policy.name}"
    in_time = req.ttft_s <= policy.target_ttft_s
    steady = closed.itl_s <= policy.target_itl_s
    attained = in_time and steady and bool(
        req.watchers or not req.caller_gone)
    out = [count(f"{name}.answered"),
           timing(f"{name}.ttft", req.ttft_s)]
    if closed.itl_s:
        out.append(timing(f"{name}.itl", closed.itl_s))
    out.append(count(f"{name}.attained", int(attained)))
    if attained:
        out.append(count(f"{name}.goodput", work_units(req, closed.tokens)))
    return out


def wasted(req, tokens):
    """Return the metric of work whose result reached no caller."""
    name = f"class.{req.policy.name}.wasted"
    return [count(name, work_units(req, tokens))]


def work_units(req, tokens):
    """Return the tokens of an engine's answer, 1 for a plain service's."""
    return tokens if req.policy.kind == "engine" else 1
