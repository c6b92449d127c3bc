"""Send requests and receive responses over pooled connections."""
