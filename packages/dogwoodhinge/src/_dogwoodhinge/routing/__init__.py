"""Selects the engines to which requests for an adapter are sent."""
