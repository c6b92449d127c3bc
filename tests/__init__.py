"""Test the program, mostly as real processes."""
