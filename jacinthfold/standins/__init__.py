"""Stand in for what the gateway serves and relies on."""
