"""Tests of the manager package."""
