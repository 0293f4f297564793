"""Adapt the users' platform to this system: its HTTP APIs and settings file."""
