"""Run the command line as ``python -m baobabpond``."""

from .ui import main

main.main()
