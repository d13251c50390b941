"""The settings file that the platform gives a process: lines a.b=value."""

import dataclasses

from crocuskeel.core import entry
from crocuskeel.platform import exceptions

__all__ = ["Boot", "read_boot"]


@dataclasses.dataclass(frozen=True, slots=True)
class Boot:
    """A process's addresses, as (ip, port), and its bounds."""

    host: str
    domain: str
    front: tuple
    ready: tuple
    directory: tuple
    control: tuple
    gossip: tuple
    ip: str
    store: tuple
    # Where duties are reported and engines ordered; None without duties.
    cloud: tuple | None
    seeds: tuple
    cores: float
    memory_mb: int
    settings: entry.Settings


# Fields without which a process can't run.
NEEDED = ("Node", "Zone", "Ip", "Listen.Front", "Listen.Ready",
          "Listen.Control", "Listen.Dir", "PortRange", "Platform.Addr")


def read_boot(text):
    """Return the Boot of a file's text; raises BadBoot with all faults."""
    fields, faults = _fields(text)
    faults += [f"{name}: missing; the platform sets it"
               for name in NEEDED if name not in fields]
    if faults:
        raise exceptions.BadBoot(faults)
    reader = _Reader(fields)
    boot = _boot(fields, reader)
    if reader.faults:
        raise exceptions.BadBoot(reader.faults)
    return boot


def _fields(text):
    fields = {}
    faults = []
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        name, mark, value = line.partition("=")
        if not mark:
            faults.append(f"line {number}: not of the form name=value")
            continue
        fields[name.strip()] = value.strip()
    return fields, faults


class _Reader:
    """Reads values of fields and collects what is wrong with them."""

    def __init__(self, fields):
        self.fields = fields
        self.faults = []

    def number(self, name, default):
        """Return a number, or the default if the field isn't there."""
        text = self.fields.get(name, "")
        if not text:
            return default
        try:
            return float(text)
        except ValueError:
            self.faults.append(f"{name}: {text!r} is not a number")
            return default

    def address(self, name, text=None):
        """Return (ip, port) of a field, or of a text out of it."""
        text = self.fields.get(name, "") if text is None else text
        ip, _, port = text.rpartition(":")
        if not ip or not port.isdigit():
            self.faults.append(f"{name}: {text!r} is not of the form "
                               "IP:PORT")
            return ("", 0)
        return (ip, int(port))

    def ports(self, name):
        """Return the ports of a field FIRST,LAST."""
        first, _, last = self.fields[name].partition(",")
        if not first.isdigit() or not last.isdigit():
            self.faults.append(f"{name}: {self.fields[name]!r} is not of "
                               "the form FIRST,LAST")
            return (0, 0)
        return (int(first), int(last))


def _boot(fields, reader):
    ports = reader.ports("PortRange")
    share = reader.number("Limits.CpuShare", 1.0)
    cores = reader.number("Limits.Cores", 1.0)
    seeds = [text for text in fields.get("Seeds", "").split(",") if text]
    return Boot(
        host=fields["Node"], domain=fields["Zone"],
        front=reader.address("Listen.Front"),
        ready=reader.address("Listen.Ready"),
        directory=reader.address("Listen.Dir"),
        control=reader.address("Listen.Control"),
        gossip=(fields["Ip"], ports[0]), ip=fields["Ip"],
        store=reader.address("Platform.Addr"),
        cloud=(reader.address("Cloud.Addr") if _duties(fields) else None),
        seeds=tuple(reader.address("Seeds", seed) for seed in seeds),
        # The platform's Cores says how many times as fast one is.
        cores=share * cores,
        memory_mb=int(reader.number("Limits.MemoryMb", 256)),
        settings=_settings(reader, _duties(fields)))


def _duties(fields):
    """Return the duties that the platform asks of one host at a time."""
    names = fields.get("Cloud.Duties", "").split(",")
    return frozenset(name for name in names if name)


def _settings(reader, duties):
    default = entry.Settings()
    return entry.Settings(
        grace_s=reader.number("Bounds.GraceS", default.grace_s),
        apply_s=reader.number(
            "Bounds.ConfigApplyMs", default.apply_s * 1000) / 1000,
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
        report_s=reader.number("Bounds.ReportWindowS", default.report_s),
        report_due_s=reader.number(
            "Bounds.UsageLagS", default.report_due_s))
