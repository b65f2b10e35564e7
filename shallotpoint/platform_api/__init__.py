"""Clients for the platform's key-value service and host list."""
