"""Stand-ins and process handling that the cases 6 to 10 share.

They need the standard library only and follow the users' pages.
"""
