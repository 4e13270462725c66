"""Run the command line as `python -m bronzebeam`."""

from bronzebeam.cli import main

main()
