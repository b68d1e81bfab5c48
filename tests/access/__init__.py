"""Tests of the access of callers."""
