"""Benchmark of the entry daemon: real processes on the loopback device."""
