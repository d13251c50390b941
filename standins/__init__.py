"""Small stand-ins for the systems outside: engines, services, platform.

They are for demos, tests and benchmarks, and are no part of the product.
"""
