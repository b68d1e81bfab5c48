"""Tests of the adapter, against stand-ins of the platform."""
