"""Small programs that take the place of the outside systems in tests."""
