"""Scheduling of a cell by a single owner, with its state in a compacted log."""
