"""Command line interface ``lacewinghub COMMAND``, built with Fire.

A command method only validates its arguments and returns a job. The job runs after Fire has
accepted the whole command line, so that a mistyped option only causes an error.
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

# Fire stores the parse functions of a command in an attribute with this name. It must be private:
# the help would list a public name as a group of commands.
fire.decorators.FIRE_METADATA = "_fire_metadata"
# Pass all values as strings: Fire would convert an author named 1e3 to a number.
_string_arguments = fire.decorators.SetParseFn(str)


class _Job:
    """Deferred work of a command, run after the whole command line has been parsed."""

    def __init__(self, work: Callable[[], None]) -> None:
        self._work = work


class Commands:
    """Router for language-model traffic with service levels and priorities.

    Run a command with --help for its options and an example. Exit status: 0 on success, 1 on an
    error with a code (docs/errors.md), 2 on an invalid command line.
    """

    @_string_arguments
    def node(self, settings: str) -> _Job:
        """Run a node until SIGTERM, which stops it gracefully: no request is interrupted.

        Example: lacewinghub node /etc/lacewinghub/node.json

        Args:
            settings: Settings file, JSON with comments (docs/settings.md).
        """

        def work() -> None:
            from .node import serve

            serve(settings)

        return _Job(work)

    @_string_arguments
    def platform(self) -> _Job:
        """Run a node on the users' platform until SIGTERM.

        The platform passes the path of the settings file in the environment (docs/platform.md).

        Example: LACEWINGHUB_BOOT=boot.toml lacewinghub platform
        """

        def work() -> None:
            from .platform.node import serve

            serve()

        return _Job(work)

    @_string_arguments
    def check(self, file: str, *, against: str = "", json: bool = False) -> _Job:
        """Validate a settings file, a tables file or a configuration without applying it.

        Example: lacewinghub check examples/trust-tables.json

        Args:
            file: JSON with comments; a file with routes, pools or workspaces is a tables file, one
                with services a configuration of the users' platform. A file name that ends in .toml
                denotes a settings file of the users' platform.
            against: Configuration in force, to print what the new one changes.
            json: Print one JSON object.
        """
        as_json = _flag("json", json)
        return _Job(lambda: _check(file, against, as_json))

    @_string_arguments
    def publish(
        self, file: str, *, log: str, author: str, base: str = "", json: bool = False
    ) -> _Job:
        """Publish tables; succeeds only if the change is accepted.

        If another operator's change was accepted first, nothing is changed and the error gives the
        name of that operator.

        Example: lacewinghub publish tables.json --log 192.0.2.9:7000 --author mere

        Args:
            file: Tables file, JSON with comments.
            log: IP:port of the platform's log.
            author: Your name, shown to other operators whose change conflicts with yours.
            base: Version that the file is based on; defaults to the current one.
            json: Print one JSON object.
        """
        as_json = _flag("json", json)
        address = _address("log", log)
        version = _integer("base", base) if base else None
        if not author.strip():
            raise BadArguments("--author must not be empty")
        return _Job(lambda: _publish(file, address, author, version, as_json))

    @_string_arguments
    def status(self, address: str, *, key: str = "") -> _Job:
        """Print the status of a node as JSON.

        Example: LACEWINGHUB_KEY=... lacewinghub status 192.0.2.1:8080

        Args:
            address: IP:port on which the node serves clients.
            key: Operator key; defaults to the environment variable LACEWINGHUB_KEY, which other
                users of the host cannot see.
        """
        node = _address("address", address)
        return _Job(lambda: _status(node, _operator_key(key)))

    @_string_arguments
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
        """Show how fast each class consumes its error budget.

        Example: lacewinghub report n1.jsonl n2.jsonl --objective 0.99,draft=0.95 --html burn.html

        Args:
            files: History files of nodes (JSON lines).
            status: IP:port of nodes to query instead, separated by commas.
            key: Operator key for --status; defaults to the environment variable LACEWINGHUB_KEY.
            objective: Target share of good requests, for all classes or by class.
            windows: Lengths of the windows to show, with the unit s, m, h or d.
            period: Period that the error budget covers.
            html: File to which an HTML page with plots is written.
            json: Print one JSON object instead of the table.
        """
        as_json = _flag("json", json)
        if bool(files) == bool(status):
            raise BadArguments("give either history files or --status with node addresses")
        options = _ReportOptions(objective, windows, period, html, as_json)
        nodes = [_address("status", item.strip()) for item in status.split(",") if item.strip()]
        return _Job(lambda: _report(list(files), nodes, _operator_key(key), options))

    @_string_arguments
    def explain(self, request: str, *files: str) -> _Job:
        """Explain the outcome of a request from the logs of the nodes.

        Example: lacewinghub explain 9c41d07be2a35f68 node-1.log node-2.log

        Args:
            request: Id of the request, as its client sent it.
            files: Logs of the nodes (JSON lines).
        """
        if not files:
            raise BadArguments("give the log files of the nodes")
        return _Job(lambda: _explain(request, list(files)))

    @_string_arguments
    def load(
        self, scenario: str, *, node: str = "", embedded: bool = False, remote: bool = False
    ) -> _Job:
        """Generate the traffic of a scenario and print one JSON object with the results.

        Example: lacewinghub load examples/trust-load.json --node 127.0.0.1:8080,127.0.0.1:8081

        Args:
            scenario: Scenario file, JSON with comments (docs/OPERATIONS.md).
            node: IP:port of one or more nodes, separated by commas.
            embedded: Start three nodes and fake endpoints with the example tables in this process.
            remote: Allow addresses other than loopback ones.
        """
        use_embedded, use_remote = _flag("embedded", embedded), _flag("remote", remote)
        if use_embedded == bool(node):
            raise BadArguments("give either --node with addresses or --embedded")
        return _Job(lambda: _load(scenario, node, use_remote))

    @_string_arguments
    def bench(self, *names: str, seed: str = "1", quick: bool = False) -> _Job:
        """Compare the schedulers on simulated endpoints; prints one JSON object per line.

        Example: lacewinghub bench burst --seed 2

        Args:
            names: Names of scenarios; defaults to all.
            seed: Random seed for arrivals and lengths.
            quick: Run only two short scenarios.
        """
        number, is_quick = _integer("seed", seed), _flag("quick", quick)
        return _Job(lambda: _bench(list(names), number, is_quick))

    @_string_arguments
    def demo(self) -> _Job:
        """Run a complete deployment in this process for less than a minute.

        Example: lacewinghub demo
        """

        def work() -> None:
            from .demo import main

            main()

        return _Job(work)

    @_string_arguments
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
    # Fire would otherwise show its help in a pager on a terminal.
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
            _print_error(BadArguments("the command line is invalid; see the usage above"))
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


def _run_async(main: Coroutine[Any, Any, Any]) -> Any:
    import uvloop

    return uvloop.run(main)


def _flag(name: str, value: object) -> bool:
    if str(value) not in ("True", "False"):
        raise BadArguments(f"--{name} takes no value")
    return str(value) == "True"


def _integer(name: str, value: str) -> int:
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


def _operator_key(key: str) -> str:
    return key or os.environ.get(KEY_VARIABLE, "")


def _read_document(path: str, error: type[LacewingError]) -> Any:
    try:
        return pyjson5.decode(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        raise error(f"file {path!r} cannot be read: {exc}") from exc
    except pyjson5.Json5Exception as exc:
        raise error(f"file {path!r} is not JSON with comments: {exc}") from exc


def _check(path: str, against: str, as_json: bool) -> None:
    summary: dict[str, Any]
    if path.endswith(".toml"):
        from .platform.boot import load as load_boot

        boot = load_boot(Path(path))
        summary = {"file": path, "kind": "platform settings", "node": boot.node_name}
        text = f"{path}: platform settings are valid: node {boot.node_name}"
        print(json.dumps(summary) if as_json else text)
        return
    document = _read_document(path, SettingsInvalid)
    from .platform.config import is_config

    if is_config(document):
        from .config_report import print_report

        before = _read_document(against, SettingsInvalid) if against else None
        print_report(path, document, before, as_json)
        return
    if against:
        raise BadArguments("--against compares configurations of the users' platform only")
    if isinstance(document, dict) and any(name in document for name in TABLE_NAMES):
        tables = Tables.parse(document)
        summary = {"file": path, "kind": "tables"}
        summary |= {name: len(getattr(tables, name)) for name in TABLE_NAMES}
        text = ", ".join(f"{summary[name]} {name}" for name in TABLE_NAMES)
    else:
        from .settings import load

        cfg = load(path)
        summary = {"file": path, "kind": "settings", "node": cfg.node}
        text = f"node {cfg.node}"
    print(json.dumps(summary) if as_json else f"{path}: {summary['kind']} are valid: {text}")


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
        result = _run_async(work())
    except LacewingError as exc:
        if as_json:
            print(json.dumps({"accepted": False} | exc.to_body()))
        raise
    if as_json:
        output = {"accepted": True, "version": result.version, "author": result.author}
        print(json.dumps(output | {"change_id": result.change_id, "changes": result.changes}))
    elif result.changes:
        print(f"version {result.version} is accepted ({result.changes} entries changed)")
    else:
        print(f"nothing to change: the tables equal version {result.version}")


def _status(address: str, key: str) -> None:
    print(json.dumps(_run_async(_read_status([address], key))[0], indent=2))


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
        for status in _run_async(_read_status(nodes, key)):
            levels.merge_json(status.get("levels", {}))
    class_reports = report.build(levels, options.objectives, options.windows_s, options.period_s)
    if options.html:
        from .plot import write_page

        write_page(
            options.html, class_reports, levels, "Source: " + ", ".join(files or nodes) + "."
        )
    if options.json:
        print(json.dumps(report.to_json(class_reports)))
    else:
        report.print_table(class_reports)


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
            results = await LoadRun(scenario, deployment.addresses).run()
            return results | {"double_runs": deployment.double_runs()}
        finally:
            await deployment.stop()

    from . import logs

    logs.setup("ERROR")
    print(json.dumps(_run_async(work())))


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
