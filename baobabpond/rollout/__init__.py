"""Generate the samples of trainers' steps and serve their pulls."""
