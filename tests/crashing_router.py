"""A router that exits with code 7 after 4 s, for tests of the harness."""

from __future__ import annotations

import os
import sys
import threading

from holdgw.router import __main__ as program

if __name__ == "__main__":
    threading.Timer(4.0, os._exit, (7,)).start()
    sys.exit(program.main())
