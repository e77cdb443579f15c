"""Measured figures and their output."""

import attrs


@attrs.frozen
class Figure:
    """A measured value beside a baseline of the same run.

    ``bound`` is the fixed bound as text, empty for a figure without one; ``holds`` is whether it is met.
    ``note`` names the baseline and the size of the run.
    """

    name: str
    value: float
    unit: str
    baseline: float | None
    bound: str = ""
    holds: bool | None = None
    note: str = ""

    def line(self) -> str:
        """Return the figure as one line."""
        ratio = self.value / self.baseline if self.baseline else None
        verdict = {None: "-", True: "holds", False: "MISSED"}[self.holds]
        parts = [
            f"{self.name:<24}",
            f"{self.value:>10.4g} {self.unit:<4}",
            f"baseline {format_number(self.baseline):>9}",
            f"ratio {format_number(ratio):>8}",
            f"bound {self.bound or '-':<22}",
            f"{verdict:<6}",
        ]
        return "  ".join(parts) + (f"  ({self.note})" if self.note else "")


def format_number(number: float | None) -> str:
    """Return a number with four significant digits, or a dash."""
    return "-" if number is None else f"{number:.4g}"


def at_most(
    name: str, value: float, unit: str, limit: float, baseline: float | None, note: str = ""
) -> Figure:
    """Return a figure whose value must not exceed ``limit``."""
    return Figure(name, value, unit, baseline, f"<= {limit:g} {unit}".rstrip(), value <= limit, note)


def percentile(values: list[float], share: float) -> float:
    """Return the nearest-rank percentile; ``share`` is between 0 and 1."""
    ordered = sorted(values)
    rank = max(1, -(-len(ordered) * share // 1))
    return ordered[int(rank) - 1]
