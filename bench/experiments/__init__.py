"""Experiments that compare policies of the planner in a simulation of targets under two workloads."""
