"""Command line: ``lacewinghub COMMAND``, built with Fire.

A command method only checks its arguments and returns a job, which runs after Fire has accepted the
whole command line. An option with a typing error therefore has no effect but an error.
"""

import asyncio
import json
import os
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import fire
import fire.decorators
import pyjson5
from fire.core import FireExit

from . import __version__
from .errors import (
    BadArguments,
    BadRequest,
    LacewingError,
    SettingsInvalid,
    SystemRefused,
    TablesInvalid,
)
from .tables import TABLE_NAMES, Tables

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130
KEY_VARIABLE = "LACEWINGHUB_KEY"

# Fire keeps the parse functions of a command in an attribute with this name; a public name would
# show in the help as if it were a group of commands.
fire.decorators.FIRE_METADATA = "_fire_metadata"
# All values stay text: Fire would turn an author named 1e3 into a number.
_text_arguments = fire.decorators.SetParseFn(str)


class _Job:
    """Work that starts after the whole command line was accepted."""

    def __init__(self, work: Callable[[], None]) -> None:
        self._work = work


class Commands:
    """Router for language-model traffic with service levels and priorities.

    Run a command with --help for its options and an example. Exit status: 0 on success, 1 on an
    error with a code (docs/errors.md), 2 on a wrong command line.
    """

    @_text_arguments
    def node(self, settings: str) -> _Job:
        """Run a node until SIGTERM, which stops it without interrupting a request.

        Example: lacewinghub node /etc/lacewinghub/node.json

        Args:
            settings: Settings file, JSON with comments (docs/settings.md).
        """

        def work() -> None:
            from .node import serve

            serve(settings)

        return _Job(work)

    @_text_arguments
    def platform(self) -> _Job:
        """Run a node on the users' platform until SIGTERM.

        The platform names the settings file in the environment (docs/platform.md).

        Example: LACEWINGHUB_BOOT=boot.toml lacewinghub platform
        """

        def work() -> None:
            from .platform.node import serve

            serve()

        return _Job(work)

    @_text_arguments
    def check(self, file: str, *, json: bool = False) -> _Job:
        """Check a settings file or a tables file without using it.

        Example: lacewinghub check examples/trust-tables.json

        Args:
            file: JSON with comments; with routes, pools or workspaces it is a tables file. A file
                that ends with .toml is a settings file of the users' platform.
            json: Print one JSON object.
        """
        as_json = _flag("json", json)
        return _Job(lambda: _check(file, as_json))

    @_text_arguments
    def publish(
        self, file: str, *, log: str, author: str, base: str = "", json: bool = False
    ) -> _Job:
        """Publish tables; succeeds only if the change was accepted.

        When another operator was first, the error names the winner and nothing was changed.

        Example: lacewinghub publish tables.json --log 192.0.2.9:7000 --author mere

        Args:
            file: Tables file, JSON with comments.
            log: IP:port of the platform's log.
            author: Your name, shown to operators who lose a race against you.
            base: Version that the file was edited from; by default the current one.
            json: Print one JSON object.
        """
        as_json = _flag("json", json)
        address = _address("log", log)
        version = _number("base", base) if base else None
        if not author.strip():
            raise BadArguments("--author must not be empty")
        return _Job(lambda: _publish(file, address, author, version, as_json))

    @_text_arguments
    def status(self, address: str, *, key: str = "") -> _Job:
        """Print the status of a node as JSON.

        Example: LACEWINGHUB_KEY=... lacewinghub status 192.0.2.1:8080

        Args:
            address: IP:port of the node for callers.
            key: Operator key; by default the environment variable LACEWINGHUB_KEY, which other
                users of the host cannot see.
        """
        node = _address("address", address)
        return _Job(lambda: _status(node, _key(key)))

    @_text_arguments
    def report(
        self,
        *files: str,
        status: str = "",
        key: str = "",
        objective: str = "0.99",
        windows: str = "5m,30m,1h,6h,1d,3d",
        period: str = "30d",
        html: str = "",
        json: bool = False,
    ) -> _Job:
        """Show how fast each class spends its error budget.

        Example: lacewinghub report n1.jsonl n2.jsonl --objective 0.99,draft=0.95 --html burn.html

        Args:
            files: History files of nodes (JSON lines).
            status: IP:port of nodes to ask instead, separated by commas.
            key: Operator key for --status; by default the variable LACEWINGHUB_KEY.
            objective: Wanted share of good requests, for all classes or for some.
            windows: Windows to show, with the unit s, m, h or d.
            period: Time for which the error budget is meant.
            html: File for a page with plots.
            json: Print one JSON object instead of the table.
        """
        as_json = _flag("json", json)
        if bool(files) == bool(status):
            raise BadArguments("name either history files or --status with node addresses")
        options = _ReportOptions(objective, windows, period, html, as_json)
        nodes = [_address("status", item.strip()) for item in status.split(",") if item.strip()]
        return _Job(lambda: _report(list(files), nodes, _key(key), options))

    @_text_arguments
    def explain(self, request: str, *files: str) -> _Job:
        """Tell what became of a request, from the logs of the nodes.

        Example: lacewinghub explain 9c41d07be2a35f68 node-1.log node-2.log

        Args:
            request: Id of the request, as its caller sent it.
            files: Logs of the nodes (JSON lines).
        """
        if not files:
            raise BadArguments("name the log files of the nodes")
        return _Job(lambda: _explain(request, list(files)))

    @_text_arguments
    def load(
        self, scenario: str, *, node: str = "", embedded: bool = False, remote: bool = False
    ) -> _Job:
        """Send the traffic of a scenario and print one JSON object with the results.

        Example: lacewinghub load examples/trust-load.json --node 127.0.0.1:8080,127.0.0.1:8081

        Args:
            scenario: Scenario file, JSON with comments (docs/OPERATIONS.md).
            node: IP:port of one or more nodes, separated by commas.
            embedded: Start three nodes and stand-ins with the Trust's tables in this process.
            remote: Permit addresses other than loopback ones.
        """
        use_embedded, use_remote = _flag("embedded", embedded), _flag("remote", remote)
        if use_embedded == bool(node):
            raise BadArguments("name either --node with addresses or --embedded")
        return _Job(lambda: _load(scenario, node, use_remote))

    @_text_arguments
    def bench(self, *names: str, seed: str = "1", quick: bool = False) -> _Job:
        """Compare versions of the scheduler on simulated endpoints, one JSON object per line.

        Example: lacewinghub bench burst --seed 2

        Args:
            names: Scenarios; all of them by default.
            seed: Seed of arrivals and lengths.
            quick: Run two short scenarios only.
        """
        number, is_quick = _number("seed", seed), _flag("quick", quick)
        return _Job(lambda: _bench(list(names), number, is_quick))

    @_text_arguments
    def demo(self) -> _Job:
        """Run a whole deployment in this process for less than a minute.

        Example: lacewinghub demo
        """

        def work() -> None:
            from .demo import main

            main()

        return _Job(work)

    @_text_arguments
    def version(self) -> _Job:
        """Print the version.

        Example: lacewinghub version
        """
        return _Job(lambda: print(__version__))


def run_command(argv: list[str]) -> int:
    """Run a command line.

    Args:
        argv: Arguments without the program's name.

    Returns:
        The exit status.
    """
    # Fire would show its help through a pager on a terminal.
    os.environ["PAGER"] = "cat"
    try:
        job = fire.Fire(
            Commands(), command=argv or ["--help"], name="lacewinghub", serialize=lambda _: None
        )
        if not isinstance(job, _Job):
            raise BadArguments("no command is given")
        job._work()
    except FireExit as exc:
        if exc.code:
            _print_error(BadArguments("the command line is wrong; see the usage above"))
        return EXIT_OK if argv and not exc.code else EXIT_USAGE
    except BadArguments as exc:
        _print_error(exc)
        return EXIT_USAGE
    except LacewingError as exc:
        _print_error(exc)
        return EXIT_FAILED
    except OSError as exc:
        _print_error(SystemRefused(str(exc)))
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return EXIT_OK


def _print_error(exc: LacewingError) -> None:
    print(f"error {exc.code}: {exc.message}", file=sys.stderr)


def _run(main: Coroutine[Any, Any, Any]) -> Any:
    import uvloop

    return uvloop.run(main)


def _flag(name: str, value: object) -> bool:
    if str(value) not in ("True", "False"):
        raise BadArguments(f"--{name} takes no value")
    return str(value) == "True"


def _number(name: str, value: str) -> int:
    if not value.isdigit():
        raise BadArguments(f"--{name} must be a whole number, not {value!r}")
    return int(value)


def _address(name: str, value: str) -> str:
    from .load import check_addresses

    try:
        (address,) = check_addresses(value, remote=True)
    except (BadRequest, ValueError) as exc:
        raise BadArguments(f"{name} {value!r} is not IP:port") from exc
    return address


def _key(key: str) -> str:
    return key or os.environ.get(KEY_VARIABLE, "")


def _read_document(path: str, error: type[LacewingError]) -> Any:
    try:
        return pyjson5.decode(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        raise error(f"file {path!r} cannot be read: {exc}") from exc
    except pyjson5.Json5Exception as exc:
        raise error(f"file {path!r} is not JSON with comments: {exc}") from exc


def _check(path: str, as_json: bool) -> None:
    found: dict[str, Any]
    if path.endswith(".toml"):
        from .platform.boot import load as load_boot

        boot = load_boot(Path(path))
        found = {"file": path, "kind": "platform settings", "node": boot.node_name}
        text = f"{path}: platform settings are valid: node {boot.node_name}"
        print(json.dumps(found) if as_json else text)
        return
    document = _read_document(path, SettingsInvalid)
    if isinstance(document, dict) and any(name in document for name in TABLE_NAMES):
        tables = Tables.parse(document)
        found = {"file": path, "kind": "tables"}
        found |= {name: len(getattr(tables, name)) for name in TABLE_NAMES}
        text = ", ".join(f"{found[name]} {name}" for name in TABLE_NAMES)
    else:
        from .settings import load

        cfg = load(path)
        found = {"file": path, "kind": "settings", "node": cfg.node}
        text = f"node {cfg.node}"
    print(json.dumps(found) if as_json else f"{path}: {found['kind']} are valid: {text}")


def _publish(path: str, address: str, author: str, base: int | None, as_json: bool) -> None:
    document = _read_document(path, TablesInvalid)
    Tables.parse(document)

    async def work() -> Any:
        from .log import HttpLog
        from .publish import publish

        log = HttpLog(address)
        try:
            return await publish(log, document, author, base=base)
        finally:
            await log.close()

    try:
        result = _run(work())
    except LacewingError as exc:
        if as_json:
            print(json.dumps({"accepted": False} | exc.to_body()))
        raise
    if as_json:
        shown = {"accepted": True, "version": result.version, "author": result.author}
        print(json.dumps(shown | {"change_id": result.change_id, "changes": result.changes}))
    elif result.changes:
        print(f"version {result.version} is accepted ({result.changes} entries changed)")
    else:
        print(f"nothing to change: the tables equal version {result.version}")


def _status(address: str, key: str) -> None:
    print(json.dumps(_run(_read_status([address], key))[0], indent=2))


async def _read_status(addresses: list[str], key: str) -> list[dict[str, Any]]:
    from .node_client import NodeClient

    async with NodeClient(timeout_s=10.0) as client:
        return await asyncio.gather(*(client.status(item, key) for item in addresses))


def _explain(request: str, files: list[str]) -> None:
    from .explain import explain

    lines: list[str] = []
    for name in files:
        try:
            lines += Path(name).read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as exc:
            raise BadArguments(f"cannot read {name}: {exc.strerror or exc}") from exc
    print(explain(request, lines).text())


class _ReportOptions:
    def __init__(self, objective: str, windows: str, period: str, html: str, json: bool) -> None:
        from .report import parse_duration, parse_objectives

        try:
            self.objectives = parse_objectives(objective)
            self.windows_s = [parse_duration(item) for item in windows.split(",")]
            self.period_s = parse_duration(period)
        except BadRequest as exc:
            raise BadArguments(exc.message) from exc
        self.html = html
        self.json = json


def _report(files: list[str], nodes: list[str], key: str, options: _ReportOptions) -> None:
    from . import report
    from .service_level import ServiceLevels

    if files:
        levels = report.read_files(files)
    else:
        levels = ServiceLevels()
        for status in _run(_read_status(nodes, key)):
            levels.merge_json(status.get("levels", {}))
    found = report.build(levels, options.objectives, options.windows_s, options.period_s)
    if options.html:
        from .plot import write_page

        write_page(options.html, found, levels, "Source: " + ", ".join(files or nodes) + ".")
    if options.json:
        print(json.dumps(report.to_json(found)))
    else:
        report.print_table(found)


def _load(path: str, node: str, remote: bool) -> None:
    from .load import LoadRun, check_addresses, read_scenario

    scenario = read_scenario(path)

    async def work() -> dict[str, Any]:
        if node:
            return await LoadRun(scenario, check_addresses(node, remote)).run()
        from .demo import example_tables
        from .embedded import EmbeddedDeployment, EmbeddedSettings

        deployment = EmbeddedDeployment(EmbeddedSettings(example_tables()))
        try:
            await deployment.start()
            await deployment.publish("load")
            found = await LoadRun(scenario, deployment.addresses).run()
            return found | {"double_runs": deployment.double_runs()}
        finally:
            await deployment.stop()

    from . import logs

    logs.setup("ERROR")
    print(json.dumps(_run(work())))


def _bench(names: list[str], seed: int, quick: bool) -> None:
    try:
        from . import bench
        from .scenario import SCENARIOS
    except ImportError as exc:
        raise BadRequest(f"bench needs the development requirements: {exc}") from exc
    known = [item.name for item in SCENARIOS]
    for name in names:
        if name not in known:
            raise BadArguments(f"scenario {name!r} is not one of {', '.join(known)}")
    options = [part for name in names for part in ("--scenario", name)]
    bench.main(["--seed", str(seed), *(["--quick"] if quick else []), *options])
