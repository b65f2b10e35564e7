"""Simulated versions (stand-ins) of the services that a router works with."""
