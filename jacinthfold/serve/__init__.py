"""Run entry hosts whose configuration is declared by intents."""
