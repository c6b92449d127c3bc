"""Model requests and responses while the gateway handles them."""
