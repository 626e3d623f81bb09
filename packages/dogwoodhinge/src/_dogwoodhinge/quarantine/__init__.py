"""Keeps requests that crash engines from being sent to further ones."""
