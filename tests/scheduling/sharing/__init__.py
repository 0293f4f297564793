"""Test how workers are shared between workspaces."""
