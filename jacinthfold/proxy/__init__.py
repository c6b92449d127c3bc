"""Take callers' requests, send them to targets and bring answers back."""
