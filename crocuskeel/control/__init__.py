"""Runtime of the control daemon: calls, clock and timeline events."""
