"""The runtime: turns I/O into events and effects into I/O."""
