"""Scheduling of requests that wait for capacity, free of side effects."""
