"""Entry host that takes its routes from a metadata store."""
