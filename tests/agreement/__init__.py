"""Tests of the agreement package."""
