"""The operators' language and interface."""
