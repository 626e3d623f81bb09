"""gRPC protocol between nodes."""
