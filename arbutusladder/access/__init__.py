"""Access of callers: their teams, and the configuration that is in force."""
