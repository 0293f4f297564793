"""Benchmarks and the main job; they start the processes they measure."""
