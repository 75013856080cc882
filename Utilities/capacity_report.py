"""Turns Bench/results/capacity.csv into fits and a plot for docs/CAPACITY.md.

Writes docs/capacity-fits.md and docs/capacity.svg. For each figure: the slope
and intercept of a least-squares line, the largest residual relative to the
measured value, and the exponent of a power law through the same points. An
exponent above 1 shows a cost that grows faster than its size.
"""
import csv
import math
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
WIDTH, HEIGHT, MARGIN = 760, 480, 60
COLOURS = ["#1b6ca8", "#c0392b", "#27ae60", "#8e44ad", "#d35400", "#16a085"]


def read_figures():
    figures = {}
    with open(ROOT / "Bench/results/capacity.csv", newline="") as file:
        for row in csv.DictReader(file):
            figures.setdefault((row["figure"], row["unit"]), []).append(
                (float(row["size"]), float(row["value"])))
    return figures


def fit_line(points):
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def fit(points):
    slope, intercept = fit_line(points)
    residual = max(abs(y - slope * x - intercept) / y
                   for x, y in points[-2:] if y)
    logs = [(math.log(x), math.log(y)) for x, y in points if y > 0]
    exponent = fit_line(logs)[0] if len(logs) > 1 else 0.0
    return slope, intercept, residual, exponent


def write_fits(figures):
    lines = ["| figure | unit | sizes | slope per item | at size 0 | "
             "residual (two largest) | exponent |",
             "|---|---|---|---|---|---|---|"]
    for (name, unit), points in figures.items():
        slope, intercept, residual, exponent = fit(points)
        sizes = ", ".join("%d" % x for x, _ in points)
        lines.append("| %s | %s | %s | %.4g | %.4g | %.0f %% | %.2f |" % (
            name, unit, sizes, slope, intercept, 100 * residual, exponent))
    (ROOT / "docs/capacity-fits.md").write_text(
        "# Fits of Bench/results/capacity.csv\n\n"
        "Made by Utilities/run-capacity.\n\n" + "\n".join(lines) + "\n")


def write_plot(figures):
    memory = {name: points for (name, unit), points in figures.items()
              if unit == "bytes"}
    xs = [math.log10(x) for points in memory.values() for x, _ in points]
    ys = [math.log10(y) for points in memory.values() for _, y in points]
    low_x, high_x = min(xs), max(xs)
    low_y, high_y = min(ys), max(ys)

    def place(x, y):
        return (MARGIN + (math.log10(x) - low_x) / (high_x - low_x) *
                (WIDTH - 2.5 * MARGIN),
                HEIGHT - MARGIN - (math.log10(y) - low_y) /
                (high_y - low_y) * (HEIGHT - 2 * MARGIN))
    parts = ['<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" '
             'font-family="sans-serif" font-size="11">' % (WIDTH, HEIGHT),
             '<text x="%d" y="20">bytes (log) against size (log)</text>'
             % MARGIN]
    for power in range(math.ceil(low_y), math.floor(high_y) + 1):
        _, y = place(10 ** low_x, 10 ** power)
        parts.append('<text x="5" y="%.0f">1e%d</text><line x1="%d" x2="%d" '
                     'y1="%.0f" y2="%.0f" stroke="#ddd"/>'
                     % (y + 4, power, MARGIN, WIDTH - MARGIN, y, y))
    for power in range(math.ceil(low_x), math.floor(high_x) + 1):
        x, _ = place(10 ** power, 10 ** low_y)
        parts.append('<text x="%.0f" y="%d">1e%d</text>'
                     % (x - 8, HEIGHT - 30, power))
    for number, (name, points) in enumerate(memory.items()):
        colour = COLOURS[number % len(COLOURS)]
        path = " ".join("%.1f,%.1f" % place(x, y) for x, y in points)
        end_x, end_y = place(*points[-1])
        parts.append('<polyline points="%s" fill="none" stroke="%s" '
                     'stroke-width="2"/><text x="%.0f" y="%.0f" fill="%s">%s'
                     '</text>' % (path, colour, end_x + 4, end_y, colour, name))
    parts.append("</svg>")
    (ROOT / "docs/capacity.svg").write_text("\n".join(parts) + "\n")


def main():
    figures = read_figures()
    write_fits(figures)
    write_plot(figures)


main()
