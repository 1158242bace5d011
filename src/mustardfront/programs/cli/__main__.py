"""Run the command line with ``python -m mustardfront.programs.cli``."""

from mustardfront.programs.cli._main import main

main()
