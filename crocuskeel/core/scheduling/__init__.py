"""Scheduling under heavy load: which requests wait, where they go, when."""
