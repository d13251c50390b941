"""Outage benchmark: a long outage of the platform on a virtual clock."""
