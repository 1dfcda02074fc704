"""Hold the code generated from baobabpond/schema by tools/generate."""
