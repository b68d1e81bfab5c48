"""Tests of the platform adapter against fakes of the platform's services."""
