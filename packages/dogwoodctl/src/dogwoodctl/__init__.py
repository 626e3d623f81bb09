"""Operator command line of dogwoodhinge."""
