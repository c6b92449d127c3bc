"""Accept callers' requests, send them to targets and return the responses."""
