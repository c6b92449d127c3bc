"""Organisations that call, their keys and their caps."""
