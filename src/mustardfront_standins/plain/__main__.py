"""Run the stand-in for a plain HTTP service."""

from mustardfront_standins.plain import main

main()
