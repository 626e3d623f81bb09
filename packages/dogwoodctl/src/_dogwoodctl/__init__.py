"""Private implementation of the operator command line."""
