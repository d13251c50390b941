"""The pure core: one reducer over events that returns effects as data.

Nothing in this package does I/O, reads a clock or imports the runtime.
"""
