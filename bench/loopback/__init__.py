"""Benchmark of the entry daemon on real processes over loopback."""
