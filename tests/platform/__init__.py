"""Tests of the platform adapter; its folder is last on the path, after the standard module ``platform``."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.append(str(ROOT / "platform"))
