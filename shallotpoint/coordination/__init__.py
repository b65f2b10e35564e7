"""Modules for coordination among members, which other programs can embed."""
