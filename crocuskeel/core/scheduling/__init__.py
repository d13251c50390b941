"""Scheduling under heavy load: which requests wait, and for how long."""
