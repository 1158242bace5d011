"""Which group loads which model."""
