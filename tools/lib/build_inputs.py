"""Runs the build command of a deploy file in a fresh checkout and lists the system files it opens.

The compiler's dependency files name headers, the linker's trace names libraries (also those that
--as-needed drops), the verbose output of make and the compiler names programs, and CMake's own
records name its modules and whatever its searches found.
"""

import os
import re
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from debian_packages import PackageDatabase, owners_of, programs_of

# The platform gives a build 15 minutes.
BUILD_LIMIT_S = 900

_PATH = re.compile(r"(?<![\w./+-])/[\w.+/-]+")
_COMMAND = re.compile(r"^\s*([\w.+-]+)\s", re.MULTILINE)
_CACHED_FILE = re.compile(r"^[^#/\n]+:FILEPATH=(/.+)$", re.MULTILINE)


class BuildError(Exception):
    """The build failed, or its output does not show which files it opened."""


@dataclass
class Inputs:
    """System files that a build opened, by kind."""

    headers: set = field(default_factory=set)
    libraries: set = field(default_factory=set)
    tools: set = field(default_factory=set)

    def all(self):
        return self.headers | self.libraries | self.tools


@dataclass
class Findings:
    """Inputs of a build, the packages that own each, and the inputs not owned by allowed packages only."""

    inputs: Inputs
    owners: dict
    unlisted: list


def check(repository):
    """Builds a fresh checkout of the repository's HEAD and compares its inputs with `packages`."""
    with tempfile.TemporaryDirectory(prefix="build_inputs.") as scratch:
        checkout = Path(scratch, "checkout")
        subprocess.run(["git", "clone", "--quiet", str(repository), str(checkout)], check=True)
        with open(checkout / "deploy" / "system.toml", "rb") as file:
            deploy = tomllib.load(file)
        listed = deploy["packages"]
        database = PackageDatabase()
        missing = [package for package in listed if not database.installed(package)]
        if missing:
            raise BuildError(f"Listed packages are not installed: {', '.join(missing)}.")
        allowed = database.with_dependencies(listed)
        inputs = _build(deploy["build"], checkout, Path(scratch), programs_of(allowed))
    owners = owners_of(inputs.all())
    unlisted = sorted(path for path, packages in owners.items()
                      if not packages or not packages <= allowed)
    return Findings(inputs, owners, unlisted)


def _build(command, checkout, scratch, programs):
    """Runs the command with only the given programs on its PATH and none of the caller's environment."""
    path = scratch / "bin"
    path.mkdir()
    for name, program in programs.items():
        (path / name).symlink_to(program)
    environment = {
        "PATH": str(path), "HOME": str(scratch), "LANG": "C.UTF-8", "VERBOSE": "1",
        "CFLAGS": "-v", "CXXFLAGS": "-v", "LDFLAGS": "-v -Wl,--trace",
    }
    completed = subprocess.run(
        ["/bin/sh", "-c", command], cwd=checkout, env=environment, check=False, text=True,
        stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
        timeout=BUILD_LIMIT_S,
    )
    if completed.returncode != 0:
        raise BuildError("The build failed with only the listed packages' programs:\n"
                         + "\n".join(_error_lines(completed.stdout)[-15:]))
    return _collect(completed.stdout, checkout, scratch, path)


def _collect(output, checkout, scratch, programs):
    target = checkout / "target"
    dependency_files = list(target.rglob("*.d"))
    compiled = output.count("Building CXX object") + output.count("Building C object")
    if compiled == 0 or len(dependency_files) < compiled:
        raise BuildError(f"{compiled} files were compiled, but only {len(dependency_files)} "
                         "dependency files tell which headers they include.")
    for pattern, description in ((r"/cc1(plus)? ", "the calls of the compiler"),
                              (r"^/\S+crt1\.o$", "the linker's trace")):
        if not re.search(pattern, output, re.MULTILINE):
            raise BuildError(f"The output of the build lacks {description}.")

    def system_files(paths):
        files = {os.path.normpath(path) for path in paths if os.path.isfile(path)}
        return {path for path in files if not path.startswith((str(scratch), "/proc/", "/dev/"))}

    inputs = Inputs()
    for file in dependency_files:
        inputs.headers |= system_files(_dependencies(file.read_text()))
    named_files = system_files(_PATH.findall(output)) - inputs.headers
    inputs.libraries = {path for path in named_files if re.search(r"\.(a|o|so[.\d]*)$", path)}
    inputs.tools = named_files - inputs.libraries
    # Programs that were called without their directory and found on the PATH.
    for name in set(_COMMAND.findall(output)):
        if (programs / name).exists():
            inputs.tools.add(os.readlink(programs / name))
    for record in target.rglob("CMakeCache.txt"):
        cached_paths = _CACHED_FILE.findall(record.read_text())
        for path in cached_paths:
            if path.startswith(str(programs)) and os.path.islink(path):
                inputs.tools.add(os.readlink(path))
        inputs.tools |= system_files(cached_paths)
    for record in target.rglob("Makefile.cmake"):
        inputs.tools |= system_files(re.findall(r'^\s*"(/[^"]+)"', record.read_text(), re.MULTILINE))
    return inputs


def _dependencies(text):
    """Prerequisites in the make rules that a compiler writes."""
    joined = text.replace("\\\n", " ")
    words = [word.replace("\\ ", " ") for word in re.findall(r"(?:\\ |\S)+", joined)]
    return [word for word in words if not word.endswith(":")]


def _error_lines(output):
    failure = re.compile(r"error|cannot find|not found|No such file", re.IGNORECASE)
    return [line for line in output.splitlines()
            if failure.search(line)
            and not line.startswith((" ", "ignoring ", "COLLECT_GCC_OPTIONS", "Configured with"))]
