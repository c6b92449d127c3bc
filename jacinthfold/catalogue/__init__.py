"""Mirror the deployment: its routes, services, targets and entry hosts."""
