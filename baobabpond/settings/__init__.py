"""Load, validate, publish and distribute settings."""
