"""Tests of the digests package."""
