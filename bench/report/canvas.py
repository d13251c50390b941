"""How every plot looks, and how it becomes the same bytes each time."""

import dataclasses
import io

import matplotlib
from matplotlib import figure
from matplotlib import ticker
from PIL import Image

__all__ = ["GOAL", "INK", "PALETTE", "Plot", "decades", "goal_line",
           "grid", "legend", "plain_log", "png", "style"]

# Okabe and Ito's colours, which the colour-blind can tell apart; each
# goes with a marker of its own.
PALETTE = (("#0072B2", "o"), ("#009E73", "D"), ("#E69F00", "s"),
           ("#555555", "^"), ("#CC79A7", "v"))
GOAL = "#D55E00"
INK = "#333333"
STYLE = {
    "axes.spines.right": False, "axes.spines.top": False,
    "axes.titlesize": 10, "axes.titleweight": "bold",
    "font.size": 9, "font.family": "DejaVu Sans",
    "legend.frameon": False, "lines.markersize": 4.5,
}
WIDTH_IN = 8.6
DPI = 120
COLORS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Plot:
    """A plot with its one-line reading; ``figure`` None if none."""

    figure: figure.Figure | None
    reading: str


def style():
    """Return the context in which plots are drawn and saved."""
    return matplotlib.rc_context(STYLE)


def grid(rows, cols, height_in, **more):
    """Return a figure and its axes, in a list by row."""
    fig = figure.Figure(figsize=(WIDTH_IN, height_in),
                        layout="constrained")
    axes = fig.subplots(rows, cols, squeeze=False, **more)
    for axis in axes.flat:
        axis.grid(color="#dddddd", linewidth=0.6)
        axis.set_axisbelow(True)
    return fig, axes.tolist()


def legend(fig, axes, cols):
    """Put the legend of some axes above the plots, off the data."""
    unique = {}
    for axis in axes:
        handles, labels = axis.get_legend_handles_labels()
        unique |= dict(zip(labels, handles))
    fig.legend(unique.values(), unique.keys(), ncols=cols,
               loc="outside upper center", frameon=False)


def goal_line(axis, value, text, upright=False):
    """Draw a goal and name it beside the line."""
    draw = axis.axvline if upright else axis.axhline
    draw(value, color=GOAL, linestyle="--", linewidth=1.2, label=text)


def decades(axis, points):
    """Label a logarithmic x axis with just the points measured."""
    axis.set_xscale("log")
    axis.set_xticks(points, [str(each) for each in points])
    axis.xaxis.set_minor_locator(ticker.NullLocator())


def plain_log(axis):
    """Label a logarithmic ``xaxis`` or ``yaxis`` 0.1, 1, 10."""
    axis.set_major_formatter(ticker.FuncFormatter(lambda x, _: f"{x:g}"))


def png(fig):
    """Return the figure's bytes: few colours, no date, no tool's name."""
    full = io.BytesIO()
    fig.savefig(full, format="png", dpi=DPI)
    image = Image.open(full).convert("RGB").quantize(
        COLORS, dither=Image.Dither.NONE)
    image.info.clear()
    out = io.BytesIO()
    image.save(out, format="png", optimize=True)
    return out.getvalue()
