"""Tests of digests."""
