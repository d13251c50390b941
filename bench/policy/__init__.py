"""Seeded scenarios for the policy: the real reducers, fake engines."""
