"""A soak test with fault injection: real daemon processes, stub servers."""
