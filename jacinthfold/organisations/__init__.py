"""Know the organisations that call, and which key belongs to whom."""
