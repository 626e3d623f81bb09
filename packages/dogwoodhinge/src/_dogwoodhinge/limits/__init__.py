"""Customer limits and load permits, enforced across all nodes."""
