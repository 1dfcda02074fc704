"""Define in the product's own terms what it needs from a platform."""
