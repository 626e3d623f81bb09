"""Engine owners: request queues, adapter slots, loads and evictions."""
