"""Name the program's version."""

VERSION = '0.1.0'
