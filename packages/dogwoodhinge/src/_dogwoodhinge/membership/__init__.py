"""Session leases, the list of hosts and endpoints, and node isolation."""
