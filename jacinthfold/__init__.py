"""Route inference requests across regions through many entry hosts."""
