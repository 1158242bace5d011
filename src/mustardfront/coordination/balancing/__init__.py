"""Which rank holds which expert."""
