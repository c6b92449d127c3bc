"""Discover the other entry hosts and list them for callers."""
