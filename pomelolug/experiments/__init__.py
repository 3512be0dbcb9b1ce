"""Demo, bench, soak, replay and measurements of single parts."""
