"""Run the callers' HTTP front."""

from mustardfront.programs.entry import main

main()
