"""Measurement programs, in virtual time and with real processes."""
