"""Runtime of the control daemon: platform, engines, clock, records."""
