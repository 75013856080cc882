#!/bin/sh
# A planned replacement of a control machine, then the loss of one other disk.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
