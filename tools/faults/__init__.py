"""Fault drive: a fleet of real processes, a load, and faults under it."""
