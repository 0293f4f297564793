"""Inject random faults into core processes while clients use them."""
