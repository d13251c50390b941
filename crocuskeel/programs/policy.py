"""Our own settings of how engines are ordered: JSON with comments."""

from crocuskeel.core.duties import capacity
from crocuskeel.programs import checks

__all__ = ["BadPolicy", "read_policy"]


class BadPolicy(checks.BadFile):
    """A file that doesn't say how engines are ordered."""


# Least and most of each setting, and what it is for.
BOUNDS = {
    "use_share": (0.05, 1.0, "share of their time that engines are used"),
    "loss_share": (0.05, 1.0, "the same after the loss of a failure "
                              "domain's spot engines"),
    "kept_s": (1.0, 3600.0, "seconds that the most needed is kept"),
    "spot_share": (0.0, 1.0, "share of engines that may be spot ones"),
}


def read_policy(text):
    """Return the capacity.Policy of a text; raises BadPolicy.

    A setting that isn't there keeps its default.
    """
    found = checks.read_object(text, "capacity", BadPolicy)
    faults = [fault for name, value in found.items()
              if (fault := _fault(name, value)) is not None]
    if faults:
        raise BadPolicy(faults)
    policy = capacity.Policy(**{
        name: float(value) for name, value in found.items()})
    if policy.loss_share < policy.use_share:
        raise BadPolicy([checks.Fault(
            "capacity.E005", "loss_share is below use_share",
            "engines are used more after a loss than before")])
    return policy


def _fault(name, value):
    if name not in BOUNDS:
        return checks.Fault(
            "capacity.E003", f"{name}: no such setting",
            "one of " + ", ".join(BOUNDS))
    least, most, what = BOUNDS[name]
    if (isinstance(value, bool) or not isinstance(value, (int, float))
            or not least <= value <= most):
        return checks.Fault("capacity.E004", f"{name}: {value!r}",
                            f"{what}, {least:g} to {most:g}")
    return None
