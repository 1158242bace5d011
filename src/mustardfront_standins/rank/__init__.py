"""Stand-ins for a rank of a lock-step group and for the exchange of its ranks."""

from mustardfront_standins.rank._main import main
from mustardfront_standins.rank._votes import OrderRefusedError, RankVotes

__all__ = ["OrderRefusedError", "RankVotes", "main"]
