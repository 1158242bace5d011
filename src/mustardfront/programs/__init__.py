"""The programs, one package each."""
