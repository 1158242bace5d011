"""Stand-ins of the platform, the workers and the clients for review cases 11 to 15.

They use the standard library only, and run in the process of a case.
"""
