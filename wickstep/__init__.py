"""wickstep: a softswitch that admits calls and routes them to shared setup servers."""

from wickstep.brain import Controller
from wickstep.interface import Settings

__version__ = "0.1.0"
__all__ = ["Controller", "Settings", "__version__"]
