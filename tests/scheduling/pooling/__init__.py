"""Test the pools of VMs."""
