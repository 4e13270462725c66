"""The command that runs stand-ins of backend servers."""

from pathlib import Path

import anyio
import click

from bronzebeam.documents.loading import load_document
from bronzebeam.standins.backend_faults import BackendFaults
from bronzebeam.standins.backend_fleet import BackendFleet


@click.command("backends")
@click.option("--document", type=click.Path(path_type=Path), required=True)
@click.option("--instances-url", required=True)
@click.option("--domains", type=int, default=4, show_default=True)
@click.option("--part", type=int, default=0, show_default=True)
@click.option("--parts", type=int, default=1, show_default=True)
@click.option("--service-ms", type=float, default=5.0, show_default=True)
@click.option("--slow-share", type=float, default=0.0, show_default=True)
@click.option("--slow-factor", type=float, default=20.0, show_default=True)
@click.option("--queue", type=int, default=50, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--control-port", type=int, default=0, help="0 disables it.")
def run_backends(
    document: Path,
    instances_url: str,
    domains: int,
    part: int,
    parts: int,
    service_ms: float,
    slow_share: float,
    slow_factor: float,
    queue: int,
    seed: int,
    control_port: int,
) -> None:
    """Run the backend servers that a document specifies, or one part of them."""
    fleet = BackendFleet(
        document=load_document(document.read_bytes()),
        instance_list_url=instances_url,
        faults=BackendFaults(
            service_ms=service_ms,
            slow_share=slow_share,
            slow_factor=slow_factor,
            queue=queue,
        ),
        failure_domain_count=domains,
        part_index=part,
        part_count=parts,
        seed=seed,
        control_port=control_port,
    )
    anyio.run(fleet.run)
