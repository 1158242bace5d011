"""Run the engine stand-in."""

from mustardfront_standins.engine import main

main()
