"""Imports point to lower layers only and form no cycle, as docs/architecture.md requires."""

import ast
import re
from graphlib import TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent
# From the lowest layer up: a package imports only packages listed before it.
LAYERS = (
    "api", "ingress", "policy", "discovery", "safety", "versions", "controller", "simulator", "xds", "dns",
    "proxy", "admin",
    "platform", "observability", "config", "daemon", "fakes", "drill", "cli", "__main__",
)  # fmt: skip


def module_name(path):
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported_names(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("swiftchute"):
            for alias in node.names:
                yield node.module, alias.name


def import_graph():
    """Return the modules of the program, each with the modules that it imports."""
    paths = {module_name(path): path for path in (ROOT / "swiftchute").rglob("*.py")}
    graph = {}
    for module, path in paths.items():
        imported_modules = (
            f"{parent}.{name}" if f"{parent}.{name}" in paths else parent
            for parent, name in imported_names(path)
        )
        graph[module] = set(imported_modules) - {module}
    return graph


def package(module):
    return module.split(".")[1] if "." in module else ""


def test_imports_form_no_cycle():
    graph = import_graph()
    assert len(graph) > 100
    TopologicalSorter(graph).prepare()  # raises CycleError with the cycle


def test_packages_import_only_lower_layers():
    upward = [
        f"{module} imports {imported}"
        for module, targets in import_graph().items()
        for imported in targets
        if package(module) and package(imported) and package(module) != package(imported)
        and LAYERS.index(package(imported)) > LAYERS.index(package(module))
    ]  # fmt: skip
    assert upward == []


def test_wall_clock_is_read_only_in_modules_listed_in_the_page_on_time():
    documentation = (ROOT / "docs" / "design" / "time.md").read_text()
    readers = [
        path.relative_to(ROOT / "swiftchute").as_posix()
        for path in (ROOT / "swiftchute").rglob("*.py")
        if re.search(r"\btime\.time(_ns)?\(|\bdatetime\.(now|utcnow|today)\b", path.read_text())
    ]
    assert len(readers) > 3
    assert [reader for reader in readers if reader not in documentation] == []
