"""Adapter between the scheduler's cell and the wire formats of the platform."""
