"""Run the weight store stand-in."""

from mustardfront_standins.weights import main

main()
