"""The tables of docs/CAPACITY.md.

``python -m benchmarks.capacity_page`` rewrites the page between its markers;
``--check`` exits with 1 if the page does not match the result files.
"""

from __future__ import annotations

import sys

import click

from benchmarks import capacity_control, capacity_requests  # noqa: F401
from benchmarks.capacity import (
    Figure,
    ResultFiles,
    build_totals,
    compute_figures,
    find_exceeded,
)
from benchmarks.results import ROOT

PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- tables: begin (python -m benchmarks.capacity_page) -->"
END = "<!-- tables: end -->"


def render_figures(figures: list[Figure]) -> list[str]:
    """Return a Markdown table of figures."""
    lines = [
        "| role | figure | value | spread | limit | margin | carried by |",
        "|---|---|---|---|---|---|---|",
    ]
    for figure in figures:
        spread = "-"
        if figure.low is not None:
            spread = f"{figure.low:.3g} to {figure.high:.3g}"
        limit = margin = "-"
        if figure.limit is not None:
            limit = f"{figure.limit:g} {figure.unit}"
            margin = describe_margin(figure.value, figure.limit)
        lines.append(
            f"| {figure.role} | {figure.label} | {figure.value:.3g} {figure.unit} "
            f"| {spread} | {limit} | {margin} | {figure.mechanism or '-'} |"
        )
    return lines


def describe_margin(value: float, limit: float) -> str:
    """Describe the margin between a value and its limit."""
    if value > limit:
        return f"MISSED, {value / limit:.2f} times the limit"
    return f"{100 * (1 - value / limit):.0f} % left"


def render_page_tables(results: ResultFiles) -> str:
    """Return the text between the markers of the page."""
    figures, missing = compute_figures(results)
    totals = build_totals(figures)
    lines = [BEGIN, "", "### Missed", ""]
    exceeded = find_exceeded([*totals, *figures])
    for figure in exceeded:
        lines.append(
            f"- {figure.role}, {figure.label}: {figure.value:.3g} {figure.unit} "
            f"against {figure.limit:g}"
        )
    lines += ["None of the figures below."] if not exceeded else []
    if missing:
        lines += ["", "### Not worked out", ""]
        lines += [f"- {line}" for line in missing]
    lines += ["", "### A daemon's control work on an ordinary day", ""]
    lines += render_figures(totals)
    lines += ["", "### By role", ""]
    lines += render_figures(figures)
    lines += ["", "### Sources", ""]
    for source in sorted({figure.source for figure in figures if figure.source}):
        roles = sorted({f.role for f in figures if f.source == source})
        lines.append(f"- {', '.join(roles)}: {source}")
    return "\n".join([*lines, "", END])


def replace_tables(page: str, tables: str) -> str:
    """Return the page with the text between its markers replaced."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return before + tables + after


@click.command()
@click.option(
    "--check",
    is_flag=True,
    help="write nothing; exit with 1 if the page is out of date",
)
def main(check: bool) -> None:
    """Rewrite the tables of docs/CAPACITY.md."""
    page = PAGE.read_text()
    updated = replace_tables(page, render_page_tables(ResultFiles()))
    if check:
        sys.exit(int(page != updated))
    PAGE.write_text(updated)


if __name__ == "__main__":
    main()
