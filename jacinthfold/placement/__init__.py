"""Decide where requests run, without input or output."""
