"""Fault drive: injects faults into a fleet of processes under load."""
