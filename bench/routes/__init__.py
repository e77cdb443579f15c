"""Soak test of route entry and route control as separate processes on loopback, with random faults."""
