"""Disturb real core processes at random while callers and workers use them."""
