"""Tests of the provider package."""
