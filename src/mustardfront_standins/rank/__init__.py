"""Stand-in of a rank of a lock-step group, and of the ranks' exchange."""

from mustardfront_standins.rank._main import main
from mustardfront_standins.rank._votes import OrderRefusedError, RankVotes

__all__ = ["OrderRefusedError", "RankVotes", "main"]
