"""What the nodes know of the engines, and who places adapters on them."""
