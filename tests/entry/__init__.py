"""Tests of the entry package."""
