"""The capacity policy: a settings file of JSON with comments."""

from crocuskeel.core.duties import capacity
from crocuskeel.programs import config_files

__all__ = ["InvalidPolicyError", "parse_policy"]


class InvalidPolicyError(config_files.InvalidFileError):
    """The file of the capacity policy is invalid."""


# Minimum and maximum of each setting, and its purpose.
SETTING_RANGES = {
    "use_share": (0.05, 1.0, "target utilization of engines"),
    "loss_share": (0.05, 1.0, "target utilization after the loss of a "
                              "failure domain's spot engines"),
    "kept_s": (1.0, 3600.0, "seconds that the peak demand is kept"),
    "spot_share": (0.0, 1.0, "maximum share of spot engines"),
}


def parse_policy(text):
    """Parse a capacity.Policy; raises InvalidPolicyError.

    Missing settings keep their defaults.
    """
    found = config_files.parse_object(text, "capacity", InvalidPolicyError)
    errors = [error for name, value in found.items()
              if (error := _check_setting(name, value)) is not None]
    if errors:
        raise InvalidPolicyError(errors)
    policy = capacity.Policy(**{
        name: float(value) for name, value in found.items()})
    if policy.loss_share < policy.use_share:
        raise InvalidPolicyError([config_files.FileError(
            "capacity.E005", "loss_share is below use_share",
            "engines are used more after a loss than before it")])
    return policy


def _check_setting(name, value):
    if name not in SETTING_RANGES:
        return config_files.FileError(
            "capacity.E003", f"{name}: unknown setting",
            "one of " + ", ".join(SETTING_RANGES))
    minimum, maximum, purpose = SETTING_RANGES[name]
    if (isinstance(value, bool) or not isinstance(value, (int, float))
            or not minimum <= value <= maximum):
        return config_files.FileError("capacity.E004", f"{name}: {value!r}",
                                      f"{purpose}, {minimum:g} to {maximum:g}")
    return None
