"""Run real instances on the emulated platform and check the promises."""
