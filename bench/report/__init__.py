"""The page of benchmarks: kept figures, plots and their history."""
