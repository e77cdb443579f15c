"""Least-squares lines through measured points."""

import attrs


@attrs.frozen
class Slope:
    """Cost per unit of size, as a straight line through measured points.

    ``spread`` is the largest distance of a point from the line over the largest value, so 0.1 means that
    no point deviates from the line by more than 10% of the largest value.
    """

    name: str
    unit: str
    per: str
    slope: float
    intercept: float
    spread: float
    points: tuple[tuple[float, float], ...]

    def line(self) -> str:
        """Return the slope as one line."""
        points = " ".join(f"{size:g}:{value:.4g}" for size, value in self.points)
        return (
            f"{self.name:<26} {self.slope:>11.4g} {self.unit} per {self.per:<14} "
            f"intercept {self.intercept:>9.4g}  spread {self.spread:.2f}  ({points})"
        )


def fit(name: str, unit: str, per: str, points: list[tuple[float, float]]) -> Slope:
    """Return the least-squares line through ``points`` (size, value)."""
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_value = sum(value for _, value in points) / count
    variance = sum((size - mean_size) ** 2 for size, _ in points)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in points) / variance
    intercept = mean_value - slope * mean_size
    largest = max(abs(value) for _, value in points) or 1.0
    spread = max(abs(value - intercept - slope * size) for size, value in points) / largest
    return Slope(name, unit, per, slope, intercept, spread, tuple(points))
