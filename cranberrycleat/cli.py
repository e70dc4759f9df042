"""The command line: daemons, stand-ins and the operator's commands.

Every flag of a daemon is declared in `options`; this module only turns those
declarations into commands. Findings are printed one a line, all at once.
"""

import asyncio
import importlib
import sys
from collections.abc import Callable
from typing import Any, Final, NoReturn

import attrs
import click

from cranberrycleat import __version__, errors, lifecycle, logs, settings
from cranberrycleat.options import (
    GatewayOptions,
    NodeOptions,
    PlatformOptions,
    SchedulerOptions,
    WorkerOptions,
)

LAZY_COMMANDS: Final = {
    "bench": "cranberrycleat.cli_bench",
    "demo": "cranberrycleat.cli_bench",
    "job": "cranberrycleat.cli_operator",
    "worker": "cranberrycleat.cli_operator",
    "config": "cranberrycleat.cli_operator",
    "status": "cranberrycleat.cli_operator",
    "dump": "cranberrycleat.cli_operator",
    "explain": "cranberrycleat.cli_explain",
}
"""Commands whose modules are imported only when they are called: a daemon that
is restarted does not load the clients and benches (0.3 s of its start)."""


class LazyGroup(click.Group):
    """A group some of whose commands are imported at their first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return every command's name."""
        return sorted({*super().list_commands(ctx), *LAZY_COMMANDS})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command, imported if need be."""
        module = LAZY_COMMANDS.get(cmd_name)
        if module is None:
            return super().get_command(ctx, cmd_name)
        found: click.Command = getattr(importlib.import_module(module), cmd_name)
        return found


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="cranberrycleat")
def main() -> None:
    """A cluster scheduler for services, batch and all-at-once jobs.

    Run `gateway` and `scheduler` on each entry host; drive them with `job`,
    `worker`, `config`, `status` and `dump`. `demo` shows the whole path on
    small stand-ins for the platform and the workers.

    Exit codes: 0 done; 1 failed; 2 bad usage or input; 3 nobody could be
    reached; 4 refused.
    """


def fail(findings: tuple[errors.Finding, ...]) -> NoReturn:
    """Print findings, one a line, and exit."""
    for each in findings:
        click.echo(f"error: {each}", err=True)
    sys.exit(errors.EXIT_USAGE)


def daemon_command(cls: type[Any], help_text: str) -> Callable[[Any], click.Command]:
    """Make a command whose flags are the fields of an options class.

    The decorated function gets the options object and returns the part to run.
    """

    def decorator(build: Callable[[Any], lifecycle.Daemon]) -> click.Command:
        def invoke(**flag_values: str | None) -> None:
            try:
                cfg = settings.load(cls, flag_values)
            except errors.FindingsError as exc:
                fail(exc.findings)
            logs.set_up(level=cfg.log_level, form=cfg.log_form)
            name = click.get_current_context().command_path
            _run_daemon(build, cfg, name.removeprefix("cranberrycleat "))

        return click.Command(
            name=build.__name__.removeprefix("run_"),
            callback=invoke,
            params=[_click_option(field) for field in attrs.fields(cls)],
            help=help_text,
        )

    return decorator


def _click_option(field: "attrs.Attribute[Any]") -> click.Option:
    return click.Option(
        [settings.flag(field)],
        type=str,
        default=None,
        metavar="VALUE",
        help=settings.help_of(field),
    )


def _run_daemon(build: Callable[[Any], lifecycle.Daemon], cfg: Any, name: str) -> None:
    async def run_until_stopped() -> None:
        await lifecycle.run(build(cfg), announce=name)

    try:
        asyncio.run(run_until_stopped())
    except errors.FindingsError as exc:
        fail(exc.findings)
    except (OSError, errors.PeerUnavailable) as exc:
        click.echo(f"error: {exc}", err=True)
        sys.exit(errors.EXIT_FAILED)


@daemon_command(GatewayOptions, "Take callers' requests and route them to endpoints.")
def run_gateway(cfg: GatewayOptions) -> lifecycle.Daemon:
    from cranberrycleat import plugins
    from cranberrycleat.gateway import Gateway
    from cranberrycleat.gateway_api import gateway_handlers

    assert plugins
    return Gateway(cfg=cfg, handlers=gateway_handlers)


@daemon_command(
    SchedulerOptions, "Serve operators, and own this data centre's workers."
)
def run_scheduler(cfg: SchedulerOptions) -> lifecycle.Daemon:
    from cranberrycleat import plugins
    from cranberrycleat.scheduler import Scheduler
    from cranberrycleat.scheduler_api import scheduler_handlers

    assert plugins
    return Scheduler(cfg=cfg, handlers=scheduler_handlers)


@daemon_command(
    NodeOptions, "Serve callers on a host of the platform; may own its workers."
)
def run_node(cfg: NodeOptions) -> lifecycle.Daemon:
    from cranberrycleat.http_client import HttpClient
    from cranberrycleat.platform.adapter import make_adapter
    from cranberrycleat.workflow.node import Node

    http = HttpClient()
    return Node(adapter=make_adapter(http), http=http)


@click.group()
def standin() -> None:
    """Small fakes of the platform and of a worker, for tests and the demo."""


@daemon_command(PlatformOptions, "The platform's table, object store and host list.")
def run_platform(cfg: PlatformOptions) -> lifecycle.Daemon:
    from cranberrycleat.standins.parts import platform_part

    return platform_part(cfg)


@daemon_command(WorkerOptions, "A worker that runs tasks under leases.")
def run_worker(cfg: WorkerOptions) -> lifecycle.Daemon:
    from cranberrycleat.standins.parts import worker_part

    return worker_part(cfg)


standin.add_command(run_platform)
standin.add_command(run_worker)
main.add_command(run_gateway)
main.add_command(run_scheduler)
main.add_command(run_node)
main.add_command(standin)
