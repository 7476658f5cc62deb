"""Tests of sniperudder.forwarding."""
