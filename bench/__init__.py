"""Benchmarks: load generator, process helpers and one module per figure."""
