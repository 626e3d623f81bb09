"""Private implementation of the dogwoodhinge node."""
