"""Interference between tasks on one worker: learning, placement and throttling."""
