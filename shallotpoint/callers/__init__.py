"""The HTTP interface for callers: requests to model pools, services and routes."""
