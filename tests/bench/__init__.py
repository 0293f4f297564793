"""Tests of the benchmarks' own logic."""
