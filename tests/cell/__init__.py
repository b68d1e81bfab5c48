"""Tests of `arbutusladder.cell`."""
