"""Measure decisions, the relay and control."""
