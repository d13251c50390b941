"""Tests of the stand-ins, in memory and on a test clock."""
