"""Carry requests and answers over connections."""
