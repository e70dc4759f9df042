"""The command line: daemons, stand-ins and operator commands.

The flags of daemons are declared in `options`; this module builds commands from
those declarations. All findings are reported together, one per line.
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
"""Commands whose modules are imported on first use. This saves 0.3 s when a daemon
restarts, as it does not load the operator clients and benches."""


class LazyGroup(click.Group):
    """A command group that imports the modules of `LAZY_COMMANDS` on first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, without importing their modules."""
        return sorted({*super().list_commands(ctx), *LAZY_COMMANDS})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command; imports its module if it is a lazy one."""
        module = LAZY_COMMANDS.get(cmd_name)
        if module is None:
            return super().get_command(ctx, cmd_name)
        found: click.Command = getattr(importlib.import_module(module), cmd_name)
        return found


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="cranberrycleat")
def main() -> None:
    """A cluster scheduler for services, batch jobs and gangs.

    Run `gateway` and `scheduler` on each entry host; control them with `job`,
    `worker`, `config`, `status` and `dump`. `demo` runs the system end to end on
    minimal stand-ins for the platform and the workers.

    Exit codes: 0 success; 1 failure; 2 invalid usage or input; 3 no process
    could be reached; 4 request refused.
    """


def fail(findings: tuple[errors.Finding, ...]) -> NoReturn:
    """Print findings to standard error, one per line; exit with `EXIT_USAGE`."""
    for each in findings:
        click.echo(f"error: {each}", err=True)
    sys.exit(errors.EXIT_USAGE)


def daemon_command(cls: type[Any], help_text: str) -> Callable[[Any], click.Command]:
    """Return a decorator that builds a command from an options class.

    The command has one flag per field of the class. The decorated function
    receives the options object and returns the daemon to run; the command is
    named after it, without the prefix `run_`.

    Args:
        cls: The options class.
        help_text: The help text of the command.
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


@daemon_command(
    GatewayOptions, "Accept requests of callers and route them to endpoints."
)
def run_gateway(cfg: GatewayOptions) -> lifecycle.Daemon:
    from cranberrycleat import plugins
    from cranberrycleat.gateway import Gateway
    from cranberrycleat.gateway_api import gateway_handlers

    assert plugins
    return Gateway(cfg=cfg, handlers=gateway_handlers)


@daemon_command(
    SchedulerOptions, "Serve operators and schedule on this data centre's workers."
)
def run_scheduler(cfg: SchedulerOptions) -> lifecycle.Daemon:
    from cranberrycleat import plugins
    from cranberrycleat.scheduler import Scheduler
    from cranberrycleat.scheduler_api import scheduler_handlers

    assert plugins
    return Scheduler(cfg=cfg, handlers=scheduler_handlers)


@daemon_command(
    NodeOptions, "Serve callers on a platform host; may take ownership of its workers."
)
def run_node(cfg: NodeOptions) -> lifecycle.Daemon:
    from cranberrycleat.http_client import HttpClient
    from cranberrycleat.platform.adapter import make_adapter
    from cranberrycleat.workflow.node import Node

    http = HttpClient()
    return Node(
        adapter=make_adapter(http),
        http=http,
        late_order_s=cfg.late_order_s,
        policies=cfg.load_policies(),
    )


@click.group()
def standin() -> None:
    """Minimal fakes of the platform and of a worker, for tests and the demo."""


@daemon_command(PlatformOptions, "Fake platform: table, object store and host list.")
def run_platform(cfg: PlatformOptions) -> lifecycle.Daemon:
    from cranberrycleat.standins.parts import platform_part

    return platform_part(cfg)


@daemon_command(WorkerOptions, "Fake worker that runs tasks under leases.")
def run_worker(cfg: WorkerOptions) -> lifecycle.Daemon:
    from cranberrycleat.standins.parts import worker_part

    return worker_part(cfg)


standin.add_command(run_platform)
standin.add_command(run_worker)
main.add_command(run_gateway)
main.add_command(run_scheduler)
main.add_command(run_node)
main.add_command(standin)
