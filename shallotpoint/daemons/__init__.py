"""Thin daemons."""
