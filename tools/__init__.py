"""Hold what the demo, the tests and the bench share."""
