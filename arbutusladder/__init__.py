"""Cluster scheduler for mixed workloads: requests, batch jobs, gangs and services."""

__version__ = "0.1.0"
