"""Entry point of ``python -m cranberrylever``."""

from cranberrylever.cli import main

main()
