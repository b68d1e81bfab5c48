"""One owner for all workers of a cell, with its state on a keyed log."""
