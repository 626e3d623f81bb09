"""Stand-ins, load tool, measurements and fault matrix."""
