"""Stand-ins for external systems, run as processes in tests."""
