"""Know the other entry hosts and tell callers about them."""
