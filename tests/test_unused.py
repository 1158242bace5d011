"""Private functions and methods are used in the file that defines them."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef)


def unused_functions(source: str) -> set[str]:
    """Return the private functions that a file defines but does not refer to."""
    tree = ast.parse(source)
    defined = {
        node.name
        for node in ast.walk(tree)
        if isinstance(node, FUNCTIONS)
        and node.name.startswith("_")
        and not node.name.endswith("__")
    }
    used = {node.id for node in ast.walk(tree) if isinstance(node, ast.Name)}
    used |= {node.attr for node in ast.walk(tree) if isinstance(node, ast.Attribute)}
    return defined - used


def test_check_finds_an_unused_method():
    """Guards against a check below that cannot fail."""
    source = "class A:\n def _a(self): pass\n def _b(self): self._a()\n"
    assert unused_functions(source) == {"_b"}


@pytest.mark.parametrize("folder", ["src", "platform", "specs", "bench"])
def test_private_functions_are_used(folder):
    """Guards against logic that is implemented but never called."""
    unused_names = {
        f"{path.relative_to(ROOT)}: {name}"
        for path in sorted((ROOT / folder).rglob("*.py"))
        for name in unused_functions(path.read_text())
    }
    assert unused_names == set()
