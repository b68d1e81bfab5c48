"""Placement preview: where a job would be placed now, without sending it."""
