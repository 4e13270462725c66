"""Options shared by several of the operators' commands."""

from pathlib import Path
from typing import Final

import click

FILE_TYPE: Final = click.Path(exists=True, dir_okay=False, path_type=Path)
STORE_OPTION: Final = click.option(
    "--store",
    "store_url",
    envvar="BRONZEBEAM_STORE",
    required=True,
    help="URL of the configuration store.",
)
INSTANCES_OPTION: Final = click.option(
    "--instances",
    "instances_url",
    envvar="BRONZEBEAM_INSTANCES",
    help="URL of the instance list, to find entries and read their revisions.",
)
AUTHOR_OPTION: Final = click.option(
    "--author", envvar="BRONZEBEAM_OPERATOR", required=True
)
APPROVER_OPTION: Final = click.option(
    "--approver", envvar="BRONZEBEAM_OPERATOR", required=True
)
DRAFT_OUTPUT_OPTION: Final = click.option(
    "--draft",
    "out",
    type=click.Path(path_type=Path),
    required=True,
    help="File to write the draft to.",
)
SOURCE_OPTION: Final = click.option("--source", help="Environment to promote from.")
TARGET_OPTION: Final = click.option("--target", help="Environment to promote to.")
REPLACES_OPTION: Final = click.option(
    "--replaces", type=int, required=True, help="Current revision in the store."
)
