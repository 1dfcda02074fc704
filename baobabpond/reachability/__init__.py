"""Find out which upstreams this instance reaches, and which others do."""
