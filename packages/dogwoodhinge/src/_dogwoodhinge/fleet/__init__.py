"""Engine state known to each node, and adapter placement by the leader."""
