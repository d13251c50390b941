"""A fault soak: the real daemons as processes, before small stand-ins."""
