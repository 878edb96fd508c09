"""Dependencies and files of packages, from the dpkg database of this machine."""

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
        """Returns the packages, the essential ones, and all dependencies of both; no recommended ones."""
        found = set()
        pending = list(packages) + list(self._essential)
        while pending:
            package = pending.pop()
            if package in found:
                continue
            if package in self._depends:
                found.add(package)
                pending.extend(self._depends[package])
            elif len(self._providers.get(package, ())) == 1:
                pending.extend(self._providers[package])
        return found


def _first_alternatives(relation):
    """Returns the names in a field such as Depends; of alternatives the first, which a clean machine installs."""
    names = []
    for term in relation.split(","):
        match = re.match(r"\s*([a-z0-9][a-z0-9.+-]*)", term)
        if match:
            names.append(match.group(1))
    return names


def owners_of(paths):
    """Maps each path to the packages that own its file or a symbolic link that leads to it.

    A path whose file no package owns maps to an empty set.
    """
    chains = {path: _links_to_file(path) for path in paths}
    owners = _query_owners(sorted({link for chain in chains.values() for link in chain}))
    result = {}
    for path, chain in chains.items():
        final = owners.get(chain[-1], set())
        result[path] = set().union(*(owners.get(link, set()) for link in chain)) if final else set()
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
    """Returns the path, the target of each symbolic link on the way, and last the file itself."""
    chain = [os.path.normpath(path)]
    while os.path.islink(chain[-1]):
        target = os.path.join(os.path.dirname(chain[-1]), os.readlink(chain[-1]))
        chain.append(os.path.normpath(target))
    chain.append(os.path.realpath(path))
    return chain


def _query_owners(paths):
    """Returns owners by path. dpkg may list a file of /usr under its path without /usr, or the reverse."""
    originals = {}
    for path in paths:
        alias = path[4:] if path.startswith("/usr/") else "/usr" + path
        originals.setdefault(path, set()).add(path)
        originals.setdefault(alias, set()).add(path)
    queries = sorted(originals)
    owners = {}
    for first in range(0, len(queries), _PATHS_PER_CALL):
        # dpkg fails when one of the paths has no owner; it still lists the others.
        answer = subprocess.run(
            ["dpkg", "-S", *queries[first : first + _PATHS_PER_CALL]],
            check=False, capture_output=True, text=True, env={**os.environ, "LC_ALL": "C"},
        ).stdout
        for line in answer.splitlines():
            names, _, path = line.rpartition(": ")
            if line.startswith("diversion by") or path not in originals:
                continue
            packages = {name.strip().partition(":")[0] for name in names.split(",")}
            for original in originals[path]:
                owners.setdefault(original, set()).update(packages)
    return owners
