"""Describe requests and answers while they pass through."""
