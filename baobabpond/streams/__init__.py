"""Let a broken stream go on only at the software version that began it."""
