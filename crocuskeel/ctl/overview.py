"""The commands ``status`` and ``drain``."""

from crocuskeel.ctl import client as clients
from crocuskeel.ctl import fleet
from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from crocuskeel.ctl.results import Report
from crocuskeel.ctl import tables
from result import Err
from result import Ok

__all__ = ["drain", "status"]

_TIERS = (1, 2, 3)
_MAX_NAMES = 3


async def status(session, args):
    """``status``: hosts, cells, engines and classes of the fleet."""
    result = await fleet.request_all(session.client, "/ops/status")
    if result.is_err():
        return result
    fleet_status = result.unwrap()
    if not fleet_status.responses:
        return Err(Failure(
            Code.UNREACHABLE, "no host responded at the address that "
            "membership lists for it",
            "\n".join(f"{host}: {reason}"
                      for host, reason in sorted(
                          fleet_status.missing.items()))))
    data = _merged(fleet_status)
    notes = tuple(f"no response from {host}: {reason}"
                  for host, reason in sorted(fleet_status.missing.items()))
    return Ok(Report(_text(data), data, notes))


def _merged(fleet_status):
    responses = [fleet_status.responses[host]
                 for host in sorted(fleet_status.responses)]
    return {
        "hosts": _hosts(fleet_status),
        "cells": _preferred(responses, "cells", "cell",
                            lambda row: bool(row["tiers"])),
        "engines": _preferred(responses, "engines", "engine",
                              lambda row: row["in_flight"] >= 0),
        "classes": _classes(responses),
        "missing": fleet_status.missing,
    }


def _hosts(fleet_status):
    """Return one row per host; a host's own data takes precedence."""
    rows = {}
    for response in fleet_status.responses.values():
        for row in response["hosts"]:
            known = rows.get(row["host"])
            if known is None or row["generation"] > known["generation"]:
                rows[row["host"]] = row
    merged = []
    for host, row in sorted(rows.items()):
        own = fleet_status.responses.get(host, {}).get("own", {})
        merged.append({**row, **own, "answered": bool(own)})
    return merged


def _preferred(responses, section, name, prefer):
    """Return one row per item, preferably from its dispatcher."""
    rows = {}
    for response in responses:
        for row in response[section]:
            if row[name] not in rows or prefer(row):
                rows[row[name]] = row
    return [rows[each] for each in sorted(rows)]


def _classes(responses):
    sums = {}
    for response in responses:
        for row in response["classes"]:
            total = sums.setdefault(row["class_name"], dict.fromkeys(
                ("answered", "attained", "refused", "failed"), 0))
            for key in total:
                total[key] += row[key]
    return [{"class_name": name, **sums[name]} for name in sorted(sums)]


def _text(data):
    parts = [
        _headline(data["hosts"]),
        tables.table(
            ("HOST", "DOMAIN", "STATE", "GENERATION", "REQUESTS", "LOAD"),
            [_host_row(row) for row in data["hosts"]]),
        tables.table(
            ("CELL", "DISPATCHER", "ENGINES",
             *(f"TIER {tier}" for tier in _TIERS)),
            [_cell_row(row) for row in data["cells"]]),
        "Tiers: waiting/running.\n",
        tables.table(
            ("ENGINE", "CELL", "DOMAIN", "STATE", "RUNNING", "LIMIT"),
            [_engine_row(row) for row in data["engines"]]),
    ]
    if data["classes"]:
        parts.append(tables.table(
            ("CLASS", "ANSWERED", "IN TIME", "ATTAINMENT", "REFUSED",
             "FAILED"),
            [_class_row(row) for row in data["classes"]]))
        parts.append("Classes: recent responses that are still in the "
                     "hosts' ring buffers.\n")
    return "\n".join(parts)


def _headline(hosts):
    generations = {row["generation"] for row in hosts if row["answered"]}
    responded = sum(row["answered"] for row in hosts)
    numbers = ", ".join(str(number) for number in sorted(generations))
    word = "generation" if len(generations) == 1 else "generations"
    return f"{responded} of {len(hosts)} hosts responded; {word} {numbers}\n"


def _host_row(row):
    if not row["answered"]:
        state = row["status"]
        if state != "left":
            state += ", no response"
        return (row["host"], row["domain"], state,
                row["generation"], "-", "-")
    return (row["host"], row["domain"], _host_state(row),
            row["generation"], row["requests"], f"{row['load']:.0%}")


def _host_state(row):
    if row["draining"]:
        return "draining"
    if row["ready"]:
        return row["status"]
    if row.get("recovered", True):
        return "not ready"
    names = row["waits_for"]
    others = [f"{len(names) - _MAX_NAMES} more"] if (
        len(names) > _MAX_NAMES) else []
    awaited = ", ".join(("platform", *names[:_MAX_NAMES], *others))
    return f"not ready, waits for {awaited}"


def _cell_row(row):
    tiers = {each["tier"]: f"{each['waiting']}/{each['running']}"
             for each in row["tiers"]}
    return (row["cell"], row["dispatcher"] or "-",
            f"{row['usable']}/{row['engines']}",
            *(tiers.get(tier, "0/0") for tier in _TIERS))


def _engine_row(row):
    known = row["in_flight"] >= 0
    return (row["engine"], row["cell"] or "-", row["domain"],
            row["state"], row["in_flight"] if known else "-",
            f"{row['limit']:.0f}" if row["limit"] else "-")


def _class_row(row):
    share = (f"{row['attained'] / row['answered']:.1%}"
             if row["answered"] else "-")
    return (row["class_name"], row["answered"], row["attained"], share,
            row["refused"], row["failed"])


async def drain(session, args):
    """``drain``: stop one host after it has finished its requests."""
    result = await clients.request(
        session.client, "GET", "/ops/status", {"brief": "1"})
    if result.is_err():
        return result
    rows = {row["host"]: row for row in result.unwrap()["hosts"]}
    if args.name not in rows:
        return Err(Failure(
            Code.NOT_FOUND, f"unknown host {args.name}",
            "Known hosts: " + ", ".join(sorted(rows))))
    address = fleet.address_of(rows[args.name])
    response = await clients.request_host(
        session.client, address, "POST", "/ops/drain", body={})
    return response.map(lambda body: Report(
        f"{args.name} is draining; {body['requests']} requests in "
        "progress\n", body))
