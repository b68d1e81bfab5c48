"""Learnt speeds of workers and durations of tasks."""
