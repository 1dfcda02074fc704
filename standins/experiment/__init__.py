"""Play loads and faults against the pool's decisions in simulated time."""
