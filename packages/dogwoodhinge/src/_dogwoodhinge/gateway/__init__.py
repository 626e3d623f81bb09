"""Forwards callers' HTTP requests to engines and plain services."""
