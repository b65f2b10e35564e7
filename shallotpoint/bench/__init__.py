"""Measurements, apart from the tests."""
