"""Run the sidecar as ``python -m mustardfront.programs.sidecar``."""

from mustardfront.programs.sidecar import main

main()
