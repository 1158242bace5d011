"""Random faults over the real processes, with checks of what must always hold."""
