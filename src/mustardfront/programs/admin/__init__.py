"""The admin program."""
