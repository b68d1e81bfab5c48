"""Stand-ins for the scripts of the second review; standard library only."""
