"""Tests of the table service's client."""
