"""Draws a table in CSV as lines in an SVG picture: python3 bench/plot.py TITLE COLUMN... < table.csv > picture.svg

The first column of the table is the horizontal axis; the columns named are the lines.
"""

import csv
import sys

WIDTH, HEIGHT, MARGIN = 640, 360, 48
COLOURS = ["#1b6ca8", "#d1495b", "#3a7d44", "#8f5fa8"]


def main():
    title, columns = sys.argv[1], sys.argv[2:]
    rows = list(csv.DictReader(sys.stdin))
    axis = list(rows[0])[0]
    max_x = max(float(it[axis]) for it in rows)
    max_y = max(float(it[column]) for it in rows for column in columns)
    place_x = lambda it: MARGIN + float(it) / max_x * (WIDTH - 2 * MARGIN)  # noqa: E731
    place_y = lambda it: HEIGHT - MARGIN - float(it) / max_y * (HEIGHT - 2 * MARGIN)  # noqa: E731
    print('<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">' % (WIDTH, HEIGHT))
    print('<rect width="100%" height="100%" fill="white"/>')
    print('<text x="%d" y="20" font-size="14">%s</text>' % (MARGIN, title))
    print('<path d="M%d %dV%dH%d" fill="none" stroke="black"/>' % (MARGIN, MARGIN, HEIGHT - MARGIN, WIDTH - MARGIN))
    for it in rows:
        print('<text x="%.1f" y="%d" text-anchor="middle">%s</text>' % (place_x(it[axis]), HEIGHT - MARGIN + 16, it[axis]))
    print('<text x="%d" y="%d" text-anchor="middle">%s</text>' % (WIDTH // 2, HEIGHT - 10, axis))
    print('<text x="4" y="%d">%.0f</text>' % (MARGIN + 4, max_y))
    for n, column in enumerate(columns):
        points = " ".join("%.1f,%.1f" % (place_x(it[axis]), place_y(it[column])) for it in rows)
        print('<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>' % (points, COLOURS[n]))
        print('<text x="%d" y="%d" fill="%s">%s</text>' % (MARGIN + 12, MARGIN + 14 + 16 * n, COLOURS[n], column))
    print("</svg>")


if __name__ == "__main__":
    main()
