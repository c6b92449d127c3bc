"""Run an entry host that serves the routes of a metadata store."""
