"""Our own settings of how engines are ordered: JSON with comments."""

import dataclasses

from crocuskeel.core.duties import capacity

__all__ = ["BadPolicy", "Fault", "read_policy"]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with a setting, and how to mend it."""

    id: str
    text: str
    hint: str

    def __str__(self):
        return f"{self.id}: {self.text} ({self.hint})"


class BadPolicy(Exception):
    """A file that can't be used; ``faults`` are all that were found."""

    def __init__(self, faults):
        super().__init__("; ".join(map(str, faults)))
        self.faults = tuple(faults)


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
    # Only who gives a file needs the library.
    import json5

    try:
        found = json5.loads(text)
    except (ValueError, RecursionError) as exc:
        raise BadPolicy([Fault(
            "capacity.E001", f"not JSON with comments: {exc}",
            "check commas and brackets")]) from exc
    if not isinstance(found, dict):
        raise BadPolicy([Fault(
            "capacity.E002", "not an object", "write { ... }")])
    faults = [fault for name, value in found.items()
              if (fault := _fault(name, value)) is not None]
    if faults:
        raise BadPolicy(faults)
    policy = capacity.Policy(**{
        name: float(value) for name, value in found.items()})
    if policy.loss_share < policy.use_share:
        raise BadPolicy([Fault(
            "capacity.E005", "loss_share is below use_share",
            "engines are used more after a loss than before")])
    return policy


def _fault(name, value):
    if name not in BOUNDS:
        return Fault("capacity.E003", f"{name}: no such setting",
                     "one of " + ", ".join(BOUNDS))
    least, most, what = BOUNDS[name]
    if (isinstance(value, bool) or not isinstance(value, (int, float))
            or not least <= value <= most):
        return Fault("capacity.E004", f"{name}: {value!r}",
                     f"{what}, {least:g} to {most:g}")
    return None
