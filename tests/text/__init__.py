"""Tests of the text package."""
