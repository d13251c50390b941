"""The pure core: one reducer over events, effects as data.

Nothing in here does I/O, reads a clock or imports the runtime.
"""
