"""Run a rank, or the exchange of a group of ranks."""

from mustardfront_standins.rank import main

main()
