"""Tests of the choice of workers for tasks."""
