"""Stand-ins of the platform, its executors and its clients."""
