"""Forecast of when new jobs start, and the admission of jobs by it."""
