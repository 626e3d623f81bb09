"""Stand-ins for the outside systems, one module each."""
