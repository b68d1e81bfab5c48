"""Tests of the cell with one owner."""
