"""A long outage of the platform, driven on a virtual clock."""
