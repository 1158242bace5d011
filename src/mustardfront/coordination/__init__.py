"""What processes decide and agree on: one package for each subject."""
