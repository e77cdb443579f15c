"""Load tool, process helpers and one module per figure."""
