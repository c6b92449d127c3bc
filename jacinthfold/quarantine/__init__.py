"""Keep requests under which targets end from ending more of them."""
