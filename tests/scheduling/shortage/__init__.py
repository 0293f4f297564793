"""Tests of what a fleet serves that is short of VMs."""
