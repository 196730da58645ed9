"""
The functions behind the operators' commands, without the command line.
"""
