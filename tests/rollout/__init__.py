"""Tests of the rollout package."""
