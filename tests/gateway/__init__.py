"""Test entry hosts that follow a metadata store."""
