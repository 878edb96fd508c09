"""What the package database of this machine says of packages, their dependencies and their files."""

import os
import re
import subprocess

# Paths given to one call of dpkg, well below the kernel's limit on the length of a command line.
_PATHS_PER_CALL = 2000
_PROGRAM_DIRECTORIES = ("/usr/bin", "/usr/sbin", "/bin", "/sbin")


class PackageDatabase:
    """The installed packages, read once."""

    def __init__(self):
        self._depends = {}
        self._essential = set()
        self._providers = {}
        fields = r"${db:Status-Status}\t${Package}\t${Essential}\t${Pre-Depends}, ${Depends}\t${Provides}\n"
        listing = subprocess.run(
            ["dpkg-query", "-W", "-f", fields], check=True, capture_output=True, text=True
        ).stdout
        for line in listing.splitlines():
            status, name, essential, depends, provides = line.split("\t")
            if status != "installed":
                continue
            self._depends[name] = _first_alternatives(depends)
            if essential == "yes":
                self._essential.add(name)
            for virtual in _first_alternatives(provides):
                self._providers.setdefault(virtual, set()).add(name)

    def installed(self, package):
        return package in self._depends

    def with_dependencies(self, packages):
        """The packages, the essential ones, and all that these depend on; no recommended ones."""
        found = set()
        open_ends = list(packages) + list(self._essential)
        while open_ends:
            package = open_ends.pop()
            if package in found:
                continue
            if package in self._depends:
                found.add(package)
                open_ends.extend(self._depends[package])
            elif len(self._providers.get(package, ())) == 1:
                open_ends.extend(self._providers[package])
        return found


def _first_alternatives(relation):
    """Names in a field such as Depends. Of alternatives a clean machine gets the first."""
    names = []
    for term in relation.split(","):
        match = re.match(r"\s*([a-z0-9][a-z0-9.+-]*)", term)
        if match:
            names.append(match.group(1))
    return names


def owners_of(paths):
    """Maps each path to the packages that own it or a link on the way to it.

    A path whose final file no package owns is mapped to an empty set.
    """
    chains = {path: _links_to_file(path) for path in paths}
    owners = _search(sorted({step for chain in chains.values() for step in chain}))
    result = {}
    for path, chain in chains.items():
        final = owners.get(chain[-1], set())
        result[path] = set().union(*(owners.get(step, set()) for step in chain)) if final else set()
    return result


def programs_of(packages):
    """Maps names of programs to their paths, for all programs that these packages alone provide."""
    paths = {}
    for directory in _PROGRAM_DIRECTORIES:
        for name in os.listdir(directory):
            paths.setdefault(name, os.path.join(directory, name))
    owners = owners_of(paths.values())
    return {name: path for name, path in paths.items() if owners[path] and owners[path] <= packages}


def _links_to_file(path):
    """The path, then where each symbolic link on the way leads, the file itself last."""
    chain = [os.path.normpath(path)]
    while os.path.islink(chain[-1]):
        target = os.path.join(os.path.dirname(chain[-1]), os.readlink(chain[-1]))
        chain.append(os.path.normpath(target))
    chain.append(os.path.realpath(path))
    return chain


def _search(paths):
    """Owners by path. Packages may know a file of /usr under its path without /usr, or the reverse."""
    spellings = {}
    for path in paths:
        other = path[4:] if path.startswith("/usr/") else "/usr" + path
        spellings.setdefault(path, set()).add(path)
        spellings.setdefault(other, set()).add(path)
    wanted = sorted(spellings)
    owners = {}
    for first in range(0, len(wanted), _PATHS_PER_CALL):
        # dpkg fails when one of the paths has no owner; the others are listed all the same.
        answer = subprocess.run(
            ["dpkg", "-S", *wanted[first : first + _PATHS_PER_CALL]],
            check=False, capture_output=True, text=True, env={**os.environ, "LC_ALL": "C"},
        ).stdout
        for line in answer.splitlines():
            names, _, path = line.rpartition(": ")
            if line.startswith("diversion by") or path not in spellings:
                continue
            packages = {name.strip().partition(":")[0] for name in names.split(",")}
            for original in spellings[path]:
                owners.setdefault(original, set()).update(packages)
    return owners
