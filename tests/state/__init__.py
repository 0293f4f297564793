"""Tests of the state package."""
