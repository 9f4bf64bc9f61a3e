"""The operators' commands with their flags, variables and help."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from sapphireyard.configuration.manifests import TABLES
from sapphireyard.operators._output import JSON, TABLE

DEFAULT_HISTORY_LIMIT = 20


def _option(field, help_text, *, default="", **options):
    """Return a flag that an environment variable can give too."""
    variable = f"SAPPHIREYARD_{field.upper()}"
    return cappa.Arg(
        long=True,
        default=cappa.Env(variable, default=default),
        help=f"{help_text} [{variable}]",
        show_default=False,
        **options,
    )


@dataclass(kw_only=True)
class SiteOptions:
    """Flags of every command."""

    store: Annotated[str, _option("store", "Object API, http://IP:PORT.")]
    address: Annotated[str, _option("address", "An entry host, IP:PORT.")]
    output: Annotated[
        str,
        _option("output", "Form of results.", default=TABLE, choices=[TABLE, JSON]),
    ]
    author: Annotated[str, _option("author", "Name put into the history.")]


@cappa.command(
    help="Put tables from YAML or JSON files in force, all together.",
    epilog="Example: sapphireyard apply routes.yaml pools.yaml --base-version 17",
)
@dataclass(kw_only=True)
class Apply(SiteOptions):
    """Put tables in force."""

    files: Annotated[list[str], cappa.Arg(help="Files; each table they hold is whole.")]
    base_version: Annotated[
        int, cappa.Arg(long=True, help="Refuse if another version is in force.")
    ] = 0


@cappa.command(
    help="Show what applying files would change.",
    epilog="Example: sapphireyard diff tables.yaml --output json",
)
@dataclass(kw_only=True)
class Diff(SiteOptions):
    """Show what files would change."""

    files: Annotated[list[str], cappa.Arg(help="Files to compare.")]


@cappa.command(
    help="Show tables in force; the JSON form can be applied again.",
    epilog="Example: sapphireyard get routes --output json > routes.json",
)
@dataclass(kw_only=True)
class Get(SiteOptions):
    """Show tables."""

    table: Annotated[
        str, cappa.Arg(choices=[*TABLES, "all"], help="Table to show.")
    ] = "all"


@cappa.command(
    help="Show the last versions, who made them and what they changed.",
    epilog="Example: sapphireyard history --changes 41",
)
@dataclass(kw_only=True)
class History(SiteOptions):
    """Show versions."""

    limit: Annotated[int, cappa.Arg(long=True, help="Versions to show.")] = (
        DEFAULT_HISTORY_LIMIT
    )
    changes: Annotated[
        int, cappa.Arg(long=True, help="Show the changes of this version instead.")
    ] = 0


@cappa.command(
    help="Give a key; it is shown once and never again.",
    epilog="Example: sapphireyard keys give hatua-east --note 'field office'",
)
@dataclass(kw_only=True)
class Give(SiteOptions):
    """Give a key."""

    customer: Annotated[str, cappa.Arg(help="Customer; none with --operator.")] = ""
    operator: Annotated[bool, cappa.Arg(long=True, help="An operator's key.")] = False
    note: Annotated[str, cappa.Arg(long=True, help="Text kept with the key.")] = ""


@cappa.command(
    help="Withdraw a key by the name that `keys list` shows.",
    epilog="Example: sapphireyard keys withdraw 3f9a02c1d4e5",
)
@dataclass(kw_only=True)
class Withdraw(SiteOptions):
    """Withdraw a key."""

    name: Annotated[str, cappa.Arg(help="Name of the key.")]


@cappa.command(name="list", help="List the keys; their text is not kept.")
@dataclass(kw_only=True)
class ListKeys(SiteOptions):
    """List keys."""


@cappa.command(help="Give, withdraw and list keys.")
@dataclass
class Keys:
    """Commands on keys."""

    command: cappa.Subcommands[Give | Withdraw | ListKeys]


@cappa.command(
    help="Show the state of an entry host and its view of the site.",
    epilog="Example: SAPPHIREYARD_KEY=... sapphireyard status --address 10.0.0.1:8000",
)
@dataclass(kw_only=True)
class Status(SiteOptions):
    """Show the state of a host."""


@cappa.command(
    help="Show where a program is served and the last decisions about it.",
    epilog="Example: sapphireyard explain hatua-east/move-1881",
)
@dataclass(kw_only=True)
class Explain(SiteOptions):
    """Explain decisions."""

    program: Annotated[str, cappa.Arg(help="CUSTOMER/PROGRAM.")]


@cappa.command(
    help="Let an upstream or an entry host leave without cutting off requests.",
    epilog="Example: sapphireyard drain engine-3",
)
@dataclass(kw_only=True)
class Drain(SiteOptions):
    """Let a host or upstream leave."""

    name: Annotated[str, cappa.Arg(help="Name of the upstream or entry host.")]
    undo: Annotated[
        bool, cappa.Arg(long=True, help="Let a leaving upstream take work again.")
    ] = False


@cappa.command(
    name="sapphireyard",
    help="Operate a sapphireyard site.",
    epilog="Exit status: 0 done, 1 failed, 2 invalid input, 3 conflict.",
)
@dataclass
class Operator:
    """The command line."""

    command: cappa.Subcommands[
        Apply | Diff | Get | History | Keys | Status | Explain | Drain
    ]
