"""Contracts and the replicated view of the configuration log."""
