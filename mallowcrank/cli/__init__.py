"""
The programs' command lines: their flags, commands and help texts.
"""
