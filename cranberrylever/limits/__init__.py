"""Limits that protect targets and callers; rules take the time as an argument."""
