"""Built-in plug-ins: clients of the platform's services."""
