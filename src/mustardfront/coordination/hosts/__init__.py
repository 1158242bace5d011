"""The platform's host list."""
