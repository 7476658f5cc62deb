"""Tests of the platform client."""
