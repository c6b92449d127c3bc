"""Decide where requests run; no module here does input or output."""
