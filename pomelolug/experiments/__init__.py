"""Demo, measurements and replays."""
