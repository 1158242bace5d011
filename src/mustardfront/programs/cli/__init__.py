"""The cli program."""
