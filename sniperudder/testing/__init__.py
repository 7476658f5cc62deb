"""Fakes at the interfaces, for tests."""
