"""Ownership of engines by nodes, takeover and hand-over."""
