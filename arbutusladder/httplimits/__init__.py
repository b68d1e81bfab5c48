"""Limits of what clients of an HTTP server may use, whatever they send."""
