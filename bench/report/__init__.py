"""The page of benchmarks: stored figures, plots and their history."""
