"""Safeguards, each with how to take it out and the test that must fail."""
