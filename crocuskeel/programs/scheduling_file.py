"""The operator's settings of scheduling: a file of JSON with comments."""

import math

from crocuskeel.core.scheduling import settings
from crocuskeel.programs import config_files

__all__ = ["InvalidSchedulingError", "parse_scheduling"]

MAX_WEIGHT = 1000.0


class InvalidSchedulingError(config_files.InvalidFileError):
    """The file of the scheduling settings is invalid."""


def parse_scheduling(text):
    """Parse a settings.Settings; raises InvalidSchedulingError.

    The exception lists all errors. Missing settings keep their defaults.
    """
    found = config_files.parse_object(
        text, "scheduling", InvalidSchedulingError)
    errors = [error for name, value in found.items()
              for error in _check_setting(name, value)]
    if errors:
        raise InvalidSchedulingError(errors)
    return settings.Settings(**found)


def _check_setting(name, value):
    """Return the errors of a setting."""
    if name not in CHECKS:
        return [_error("E003", name, "unknown setting",
                       "one of " + ", ".join(CHECKS))]
    return CHECKS[name](name, value)


def _error(number, key, reason, hint):
    return config_files.FileError(
        f"scheduling.{number}", f"{key}: {reason}", hint)


def _is_number(value):
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _new_number_check(is_valid, hint):
    """Return a check of a number; ``hint`` describes valid ones."""
    def check(key, value):
        if _is_number(value) and is_valid(value):
            return []
        return [_error("E004", key, repr(value), hint)]

    return check


def _new_mapping_check(check_value, hint):
    """Return a check of an object from names to valid values."""
    def check(key, value):
        if not isinstance(value, dict):
            return [_error("E005", key, repr(value), hint)]
        return [error for name, each in value.items()
                for error in check_value(f"{key}.{name}", each)]

    return check


def _check_floors(key, value):
    errors = _check_each_floor(key, value)
    if not isinstance(value, dict):
        return errors
    # math.fsum gives exactly 1 for floors such as ten times 0.1.
    total = math.fsum(each for each in value.values()
                      if _is_number(each) and 0 < each <= 1)
    if total > 1:
        errors.append(_error(
            "E006", key, f"sum is {total:g}",
            "shares of all admissions, at most 1 in sum"))
    return errors


_check_each_floor = _new_mapping_check(
    _new_number_check(lambda value: 0 <= value <= 1,
                      "minimum share of admissions, 0 to 1"),
    "an object from names of classes to shares, 0 to 1")
_check_weights = _new_mapping_check(
    _new_number_check(lambda value: 0 < value <= MAX_WEIGHT,
                      f"weight, over 0 up to {MAX_WEIGHT:g}"),
    f"an object from names to weights, over 0 up to {MAX_WEIGHT:g}")
# Check of each setting; returns its errors.
CHECKS = {
    "min_patience": _new_number_check(
        lambda value: 1.5 <= value <= 1000,
        "least limit of a scheduled stream class in targets, 1.5 to 1000"),
    "wait_share": _new_number_check(
        lambda value: 0 < value <= 0.9,
        "share of its limit that a request may wait, over 0 up to 0.9"),
    "max_waiting": _new_number_check(
        lambda value: isinstance(value, int) and 1 <= value <= 100_000,
        "requests of a service that wait at a host, a whole number from 1 "
        "to 100000"),
    "class_weights": _check_weights,
    "workspace_weights": _check_weights,
    "class_floors": _check_floors,
}
