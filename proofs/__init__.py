"""Failure proofs with real processes."""
