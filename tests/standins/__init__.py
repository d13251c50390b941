"""Tests of the stand-ins, on in-memory transports and a fake clock."""
