"""Tests of the VM pools."""
