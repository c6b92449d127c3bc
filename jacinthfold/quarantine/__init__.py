"""Quarantine requests that crash targets."""
