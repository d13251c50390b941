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


async def status(session, args):
    """``status``: hosts, cells, engines and classes of the fleet."""
    asked = await fleet.ask_fleet(session.client, "/ops/status")
    if asked.is_err():
        return asked
    found = asked.unwrap()
    if not found.answers:
        return Err(Failure(
            Code.UNREACHABLE, "the hosts know each other, but none "
            "answered at its own address",
            "\n".join(f"{host}: {why}"
                      for host, why in sorted(found.missing.items()))))
    data = _merged(found)
    notes = tuple(f"no answer from {host}: {why}"
                  for host, why in sorted(found.missing.items()))
    return Ok(Report(_text(data), data, notes))


def _merged(found):
    answers = [found.answers[host] for host in sorted(found.answers)]
    return {
        "hosts": _hosts(found),
        "cells": _best(answers, "cells", "cell",
                       lambda line: bool(line["tiers"])),
        "engines": _best(answers, "engines", "engine",
                         lambda line: line["in_flight"] >= 0),
        "classes": _classes(answers),
        "missing": found.missing,
    }


def _hosts(found):
    """One line a host: what it says of itself goes before rumours."""
    lines = {}
    for answer in found.answers.values():
        for line in answer["hosts"]:
            kept = lines.get(line["host"])
            if kept is None or line["generation"] > kept["generation"]:
                lines[line["host"]] = line
    out = []
    for host, line in sorted(lines.items()):
        own = found.answers.get(host, {}).get("own", {})
        out.append({**line, **own, "answered": bool(own)})
    return out


def _best(answers, part, name, prefer):
    """One line an item, from its dispatcher where that has answered."""
    lines = {}
    for answer in answers:
        for line in answer[part]:
            if line[name] not in lines or prefer(line):
                lines[line[name]] = line
    return [lines[each] for each in sorted(lines)]


def _classes(answers):
    sums = {}
    for answer in answers:
        for line in answer["classes"]:
            total = sums.setdefault(line["class_name"], dict.fromkeys(
                ("answered", "attained", "refused", "failed"), 0))
            for key in total:
                total[key] += line[key]
    return [{"class_name": name, **sums[name]} for name in sorted(sums)]


def _text(data):
    parts = [
        _headline(data["hosts"]),
        tables.table(
            ("HOST", "DOMAIN", "STATE", "GENERATION", "REQUESTS", "LOAD"),
            [_host_row(line) for line in data["hosts"]]),
        tables.table(
            ("CELL", "DISPATCHER", "ENGINES",
             *(f"TIER {tier}" for tier in _TIERS)),
            [_cell_row(line) for line in data["cells"]]),
        "Tiers: waiting/running.\n",
        tables.table(
            ("ENGINE", "CELL", "DOMAIN", "STATE", "RUNNING", "LIMIT"),
            [_engine_row(line) for line in data["engines"]]),
    ]
    if data["classes"]:
        parts.append(tables.table(
            ("CLASS", "ANSWERED", "IN TIME", "ATTAINMENT", "REFUSED",
             "FAILED"),
            [_class_row(line) for line in data["classes"]]))
        parts.append("Classes: recent answers, as far as the hosts' "
                     "rings go back.\n")
    return "\n".join(parts)


def _headline(hosts):
    told = {line["generation"] for line in hosts if line["answered"]}
    count = sum(line["answered"] for line in hosts)
    numbers = ", ".join(str(number) for number in sorted(told))
    word = "generation" if len(told) == 1 else "generations"
    return f"{count} of {len(hosts)} hosts answered; {word} {numbers}\n"


def _host_row(line):
    if not line["answered"]:
        state = line["status"]
        if state != "left":
            state += ", silent"
        return (line["host"], line["domain"], state,
                line["generation"], "-", "-")
    return (line["host"], line["domain"], _host_state(line),
            line["generation"], line["requests"], f"{line['load']:.0%}")


def _host_state(line):
    if line["draining"]:
        return "draining"
    return line["status"] if line["ready"] else "not ready"


def _cell_row(line):
    tiers = {each["tier"]: f"{each['waiting']}/{each['running']}"
             for each in line["tiers"]}
    return (line["cell"], line["dispatcher"] or "-",
            f"{line['usable']}/{line['engines']}",
            *(tiers.get(tier, "0/0") for tier in _TIERS))


def _engine_row(line):
    known = line["in_flight"] >= 0
    return (line["engine"], line["cell"] or "-", line["domain"],
            line["state"], line["in_flight"] if known else "-",
            f"{line['limit']:.0f}" if line["limit"] else "-")


def _class_row(line):
    share = (f"{line['attained'] / line['answered']:.1%}"
             if line["answered"] else "-")
    return (line["class_name"], line["answered"], line["attained"], share,
            line["refused"], line["failed"])


async def drain(session, args):
    """``drain``: let one host finish its requests and stop."""
    asked = await clients.ask(
        session.client, "GET", "/ops/status", {"brief": "1"})
    if asked.is_err():
        return asked
    lines = {line["host"]: line for line in asked.unwrap()["hosts"]}
    if args.name not in lines:
        return Err(Failure(
            Code.NOT_FOUND, f"no host {args.name}",
            "hosts: " + ", ".join(sorted(lines))))
    address = fleet.address_of(lines[args.name])
    answer = await clients.ask_host(
        session.client, address, "POST", "/ops/drain", body={})
    return answer.map(lambda body: Report(
        f"{args.name} is draining; {body['requests']} requests still run "
        "there\n", body))
