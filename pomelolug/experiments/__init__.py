"""Demo, trace replay and benchmarks on the simulated platform."""
