"""Call admission and routing decisions for an edge proxy in front of shared signalling servers."""

from wickstep.brain import Controller
from wickstep.interface import Settings

__version__ = "0.1.0"
__all__ = ["Controller", "Settings", "__version__"]
