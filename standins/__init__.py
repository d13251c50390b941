"""Simplified engines, services and platform for demos, tests and benchmarks.

They stand in for the external systems and are no part of the product.
"""
