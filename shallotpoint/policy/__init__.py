"""Scheduling policy, without clock or I/O: each call gets the current time."""
