"""Hold the tree of settings and the settings of one process."""
