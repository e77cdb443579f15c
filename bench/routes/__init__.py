"""A fault soak of the programs of routes, run as separate processes on loopback."""
