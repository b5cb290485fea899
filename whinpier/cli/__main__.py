"""`python -m whinpier.cli` is `whinpier`."""

from whinpier.cli.main import main

if __name__ == "__main__":
    main()
