"""The style of the plots, and their reproducible conversion to PNG."""

import dataclasses
import io

import matplotlib
from matplotlib import figure
from matplotlib import ticker
from PIL import Image

__all__ = ["GOAL_COLOR", "PALETTE", "Plot", "TEXT_COLOR", "add_legend",
           "draw_goal_line", "format_log_axis", "new_figure",
           "plot_style", "set_log_x_axis", "to_png"]

# The colour-blind safe palette of Okabe and Ito; each colour has its own
# marker.
PALETTE = (("#0072B2", "o"), ("#009E73", "D"), ("#E69F00", "s"),
           ("#555555", "^"), ("#CC79A7", "v"))
GOAL_COLOR = "#D55E00"
TEXT_COLOR = "#333333"
PLOT_STYLE = {
    "axes.spines.right": False, "axes.spines.top": False,
    "axes.titlesize": 10, "axes.titleweight": "bold",
    "font.size": 9, "font.family": "DejaVu Sans",
    "legend.frameon": False, "lines.markersize": 4.5,
}
WIDTH_IN = 8.6
DPI = 120
PNG_COLORS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Plot:
    """A plot and a summary of it; ``figure`` is None without data."""

    figure: figure.Figure | None
    summary: str


def plot_style():
    """Return the style context in which plots are drawn and saved."""
    return matplotlib.rc_context(PLOT_STYLE)


def new_figure(rows, columns, height_in, **subplot_options):
    """Return a figure and a list of its rows of axes."""
    fig = figure.Figure(figsize=(WIDTH_IN, height_in),
                        layout="constrained")
    axes = fig.subplots(rows, columns, squeeze=False, **subplot_options)
    for axis in axes.flat:
        axis.grid(color="#dddddd", linewidth=0.6)
        axis.set_axisbelow(True)
    return fig, axes.tolist()


def add_legend(fig, axes, columns):
    """Add a legend of some axes above the plots, clear of the data."""
    handles_by_label = {}
    for axis in axes:
        handles, labels = axis.get_legend_handles_labels()
        handles_by_label |= dict(zip(labels, handles))
    fig.legend(
        handles_by_label.values(), handles_by_label.keys(), ncols=columns,
        loc="outside upper center", frameon=False)


def draw_goal_line(axis, value, text, is_vertical=False):
    """Draw a line at a goal, with a label."""
    draw = axis.axvline if is_vertical else axis.axhline
    draw(value, color=GOAL_COLOR, linestyle="--", linewidth=1.2, label=text)


def set_log_x_axis(axis, points):
    """Make the x axis logarithmic with ticks at the measured points."""
    axis.set_xscale("log")
    axis.set_xticks(points, [str(point) for point in points])
    axis.xaxis.set_minor_locator(ticker.NullLocator())


def format_log_axis(axis):
    """Label a logarithmic ``xaxis`` or ``yaxis`` as 0.1, 1, 10."""
    axis.set_major_formatter(ticker.FuncFormatter(lambda x, _: f"{x:g}"))


def to_png(fig):
    """Return the figure as a PNG.

    It has a reduced palette and no metadata such as a date or the name of
    the program, so that equal figures have equal bytes.
    """
    original = io.BytesIO()
    fig.savefig(original, format="png", dpi=DPI)
    image = Image.open(original).convert("RGB").quantize(
        PNG_COLORS, dither=Image.Dither.NONE)
    image.info.clear()
    optimized = io.BytesIO()
    image.save(optimized, format="png", optimize=True)
    return optimized.getvalue()
