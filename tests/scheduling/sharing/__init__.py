"""Tests of the sharing of workers between workspaces."""
