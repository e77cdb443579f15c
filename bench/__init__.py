"""Measurements of the bounds in docs/design.md."""
