"""Parser of the settings file from the platform: lines name=value."""

import dataclasses
import math

from crocuskeel.core import entry
from crocuskeel.platform import exceptions
from crocuskeel.platform import objects

__all__ = ["BootSettings", "parse_boot_settings"]


@dataclasses.dataclass(frozen=True, slots=True)
class BootSettings:
    """Addresses of a process, as (ip, port), and its limits.

    ``unusable_seeds`` are addresses among the seeds that aren't valid.
    """

    host: str
    domain: str
    front: tuple
    ready: tuple
    directory: tuple
    control: tuple
    gossip: tuple
    ip: str
    store: tuple
    # Address for usage reports and engine orders; None without duties.
    cloud: tuple | None
    seeds: tuple
    unusable_seeds: tuple
    cores: float
    memory_mb: int
    settings: entry.Settings


# Fields that a process needs to start.
REQUIRED_FIELDS = (
    "Node", "Zone", "Ip", "Listen.Front", "Listen.Ready",
    "Listen.Control", "Listen.Dir", "PortRange", "Platform.Addr")
# Most characters of a value that an error shows.
MAX_SHOWN = 100
# Windows of reports are numbered from 1970 on.
MIN_WINDOW_S = 0.001


def parse_boot_settings(text):
    """Return the BootSettings that a file's text holds.

    Raises BootSettingsError with all errors that were found.
    """
    fields, errors = _parse_fields(text)
    errors += [f"{name}: required field is missing; the platform sets it"
               for name in REQUIRED_FIELDS if name not in fields]
    if errors:
        raise exceptions.BootSettingsError(errors)
    reader = _FieldReader(fields)
    boot = _build(fields, reader)
    if reader.errors:
        raise exceptions.BootSettingsError(reader.errors)
    return boot


def _parse_fields(text):
    fields = {}
    errors = []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        name, separator, value = line.partition("=")
        if not separator:
            errors.append(f"line {number}: expected name=value")
            continue
        fields[name.strip()] = value.strip()
    return fields, errors


class _FieldReader:
    """Converts field values and collects the errors."""

    def __init__(self, fields):
        self.fields = fields
        self.errors = []

    def number(self, name, default, least=-math.inf):
        """Return the field as a number, or the default if it is missing."""
        text = self.fields.get(name, "")
        if not text:
            return default
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if math.isfinite(value) and value >= least:
            return value
        self.errors.append(f"{name}: {text[:MAX_SHOWN]!r} is no usable number")
        return default

    def address(self, name):
        """Return (ip, port) from the field."""
        text = self.fields.get(name, "")
        found = _address(text)
        if found is None:
            self.errors.append(f"{name}: {text[:MAX_SHOWN]!r} is not IP:PORT")
        return found

    def ports(self, name):
        """Return the first and last port of a range FIRST,LAST."""
        first, _, last = self.fields[name].partition(",")
        if not (objects.is_port(first) and objects.is_port(last)):
            self.errors.append(f"{name}: {self.fields[name][:MAX_SHOWN]!r} "
                               "is not FIRST,LAST")
            return (0, 0)
        return (int(first), int(last))


def _address(text):
    """Return (ip, port), or None if a text isn't IP:PORT."""
    ip, _, port = text.rpartition(":")
    return (ip, int(port)) if ip and objects.is_port(port) else None


def _build(fields, reader):
    ports = reader.ports("PortRange")
    cpu_share = reader.number("Limits.CpuShare", 1.0)
    cores = reader.number("Limits.Cores", 1.0)
    seeds = [text for text in fields.get("Seeds", "").split(",") if text]
    return BootSettings(
        host=fields["Node"], domain=fields["Zone"],
        front=reader.address("Listen.Front"),
        ready=reader.address("Listen.Ready"),
        directory=reader.address("Listen.Dir"),
        control=reader.address("Listen.Control"),
        gossip=(fields["Ip"], ports[0]), ip=fields["Ip"],
        store=reader.address("Platform.Addr"),
        cloud=(reader.address("Cloud.Addr") if _duty_names(fields) else None),
        # Any of them will do.
        seeds=tuple(filter(None, map(_address, seeds))),
        unusable_seeds=tuple(seed[:MAX_SHOWN] for seed in seeds
                             if _address(seed) is None),
        # Limits.Cores is the speed of a core relative to a standard one.
        cores=cpu_share * cores,
        memory_mb=int(reader.number("Limits.MemoryMb", 256)),
        settings=_entry_settings(reader, _duty_names(fields)))


def _duty_names(fields):
    """Return the duties of which the platform wants one holder each."""
    names = fields.get("Cloud.Duties", "").split(",")
    return frozenset(name for name in names if name)


def _entry_settings(reader, duties):
    default = entry.Settings()
    return entry.Settings(
        grace_s=reader.number("Bounds.GraceS", default.grace_s),
        heartbeat_s=reader.number(
            "HeartbeatMs", default.heartbeat_s * 1000) / 1000,
        config_apply_s=reader.number(
            "Bounds.ConfigApplyMs", default.config_apply_s * 1000) / 1000,
        repeat_share=reader.number(
            "Bounds.BudgetRatio", default.repeat_share),
        repeat_window_s=reader.number(
            "Bounds.BudgetWindowS", default.repeat_window_s),
        repeat_slack=reader.number(
            "Bounds.BudgetSlack", default.repeat_slack),
        address_ttl_s=min(default.address_ttl_s, reader.number(
            "Bounds.ttl_max_s", default.address_ttl_s)),
        duties=duties,
        lease_s=reader.number(
            "Bounds.LeaseMs", default.lease_s * 1000) / 1000,
        report_window_s=reader.number(
            "Bounds.ReportWindowS", default.report_window_s, MIN_WINDOW_S),
        report_lag_s=reader.number(
            "Bounds.UsageLagS", default.report_lag_s))
