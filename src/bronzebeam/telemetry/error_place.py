"""Tells where an exception was raised."""

import os
from typing import Final

PACKAGE: Final = os.path.dirname(os.path.dirname(__file__)) + os.sep


def place_of(error: BaseException | None) -> str:
    """
    Return where an exception was raised, as ``file:line``; empty if it is unknown.

    The innermost line of this program tells more than one of a library.
    """
    own, innermost = "", ""
    trace = None if error is None else error.__traceback__
    while trace is not None:
        name = trace.tb_frame.f_code.co_filename
        innermost = f"{os.path.basename(name)}:{trace.tb_lineno}"
        if name.startswith(PACKAGE):
            own = f"{name.removeprefix(PACKAGE)}:{trace.tb_lineno}"
        trace = trace.tb_next
    return own or innermost
