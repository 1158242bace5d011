"""Run the sidecar."""

from mustardfront.programs.sidecar import main

main()
