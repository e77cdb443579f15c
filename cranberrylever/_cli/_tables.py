"""Plain text tables."""

from collections.abc import Iterable, Sequence


def format_table(title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows as aligned columns below a title."""
    cells = [list(columns)] + [[_cell_text(value) for value in row] for row in rows]
    widths = [max(len(row[position]) for row in cells) for position in range(len(columns))]
    lines = ["  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in cells]
    return "\n".join([f"{title} ({len(cells) - 1})", *(f"  {line.rstrip()}" for line in lines)])


def _cell_text(value: object) -> str:
    """Return the text of a cell; ``-`` for a missing value (an empty text, or -1 for a time)."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{max(value, 0.0):.2f}" if value > -0.5 else "-"
    return "-" if value == "" else str(value)
