"""Run the administration API with ``python -m mustardfront.programs.admin``."""

from mustardfront.programs.admin._main import main

main()
