"""Tests of the adapter; its folder goes last on the path, as the standard module has the same name."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.append(str(ROOT / "platform"))
