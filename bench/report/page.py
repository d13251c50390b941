"""Writes the page and its plots from the stored results."""

import dataclasses
import re
import textwrap
import typing

from bench import capacity
from bench.report import canvas
from bench.report import fleet_plots
from bench.report import history
from bench.report import policy_plots
from bench.report import results

__all__ = ["SECTIONS", "write"]

PAGE = "README.md"
WIDTH = 79
_QUOTED_NAME = re.compile(r"`[^`]*`")
_SPACE_MARK = "\0"
INTRODUCTION = """\
# Benchmarks

Written by `make bench` (`python -m bench.report`): it runs the policy
benchmark anew and takes the kept figures of the others from
`bench/results`; with `--measure` it runs all of them, with `--kept` none.
Don't edit this page by hand.

The policy benchmark runs the real reducers on an advanced clock: the same
seed gives the same figures. Figures of processor time or latency are of one
run on one machine, which may have been busy with other work. Goals are
those of the project's issues; the 4 s and the 2 KB/s are the users' sizes
([capacity](../CAPACITY.md)).
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """A plot's heading, source command, units and drawing function."""

    slug: str
    title: str
    command: str
    units: str
    draw: typing.Callable[[results.FigureReader], canvas.Plot]


SECTIONS = (
    Section("attainment", "Attainment", "python -m bench.policy",
            "share of the sent requests that were answered within their "
            "class's target (0 to 1)", policy_plots.attainment),
    Section("waste", "Wasted work", "python -m bench.policy",
            "% of generated tokens or of service calls, whichever is "
            "greater, thrown away or done twice", policy_plots.waste),
    Section("waits", "Longest wait against its bound",
            "python -m bench.policy",
            "seconds; of each class the scenario nearest to the bound. "
            "Left: an attempt waits at most until its deadline. Right: a "
            "class with waiting work gets a grant within the bound of its "
            "floor", policy_plots.waits),
    Section("settings", "Settings", "python -m bench.settings_figures",
            "seconds from the commit; bytes of settings traffic a change "
            "a host", fleet_plots.settings),
    Section("membership", "Membership",
            "python -m bench.membership_figures",
            "bytes a second that a host sends; seconds from a host's death",
            fleet_plots.membership),
    Section("requests", "Door and dispatcher",
            "python -m bench.core_figures",
            "µs of processor time a request in the pure core, without I/O",
            fleet_plots.requests),
    Section("relay", "Token path",
            "python -m bench.loopback --hosts 1 9 --seconds 15`, for 3 hosts "
            "`python -m bench.loopback --hosts 3",
            "µs of processor time a token relayed; milliseconds over "
            "asking the engine directly", fleet_plots.relay),
    Section("claims", "Claims", "python -m bench.claims_figures",
            "conditional writes to the platform a claim; seconds that a "
            "non-repeatable request waits for its claim",
            fleet_plots.claims),
)


def write(stored, rows, directory):
    """Write the page and its plots into a directory.

    ``rows`` are those of :mod:`bench.report.history`. Equal figures give
    equal bytes.
    """
    directory.mkdir(parents=True, exist_ok=True)
    parts = [INTRODUCTION]
    parts += [_section(section, stored, directory) for section in SECTIONS]
    parts.append(_history_section(rows))
    (directory / PAGE).write_text("\n".join(parts))


def _section(section, stored, directory):
    reader = results.FigureReader(stored)
    with canvas.plot_style():
        plot = section.draw(reader)
        image = plot.figure and canvas.to_png(plot.figure)
    path = directory / f"{section.slug}.png"
    lines = [f"## {section.title}", ""]
    if image is None:
        path.unlink(missing_ok=True)
        lines += ["**Not measured.**", ""]
    else:
        path.write_bytes(image)
        lines += [_wrap(plot.summary), "",
                  f"![{section.title}]({path.name})", ""]
    lines += [_wrap(f"Unit: {section.units}."), "",
              f"Source: `{section.command}`", ""]
    if reader.missing:
        lines += [_missing_figures(reader.missing), ""]
    return "\n".join(lines)


def _missing_figures(names):
    listed = ", ".join(f"`{name}`" for name in dict.fromkeys(names))
    return _wrap(f"Not measured: {listed}.")


def _history_section(rows):
    header, lines = history.table(rows)
    text = ("Each commit's line is in `bench/results/history.jsonl`; the "
            f"newest {history.SHOWN_COMMITS} are shown. A `+` marks figures "
            "of a tree with changes on top of that commit. A line holds the "
            "kept figures of its day: but for the policy benchmark they may "
            "have been measured at an earlier commit. Figures of "
            "processor time and latency compare only between runs on a "
            "machine as busy.")
    body = capacity.table(header, lines) if rows \
        else "**Not measured.**"
    return f"## Earlier figures\n\n{_wrap(text)}\n\n{body}\n"


def _wrap(text):
    # Names are not wrapped at spaces, so that they can be searched for.
    marked = _QUOTED_NAME.sub(
        lambda match: match[0].replace(" ", _SPACE_MARK), text)
    lines = textwrap.fill(marked, WIDTH, break_long_words=False,
                          break_on_hyphens=False)
    return lines.replace(_SPACE_MARK, " ")
