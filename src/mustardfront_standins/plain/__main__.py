"""Run the plain stand-in."""

from mustardfront_standins.plain import main

main()
