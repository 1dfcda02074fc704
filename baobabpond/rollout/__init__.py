"""Generate the samples of a trainer's steps and hand them over."""
