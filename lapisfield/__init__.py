"""Call admission and routing decisions for an edge proxy in front of shared signalling servers."""

from lapisfield.brain import Controller
from lapisfield.interface import Settings

__all__ = ["Controller", "Settings"]
