"""Tests which builds tools/check_packages passes and which it fails, on small generated projects."""

import shutil
import subprocess
import sys
import tempfile
import textwrap
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools" / "lib"))

from build_inputs import BuildError, check  # noqa: E402

LISTED = ["g++", "cmake", "make", "libxxhash-dev", "libspdlog-dev"]


class Project:
    """A repository with one program; each test changes one thing in it."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.packages = list(LISTED)
        self.source = ["#include <xxhash.h>", "int main() { return XXH64(nullptr, 0, 0) == 0; }"]
        self.cmake = ["target_link_libraries(program PRIVATE xxhash)"]
        self.before_program = []
        self.arguments = ""

    def check(self):
        (self.folder / "deploy").mkdir()
        listed = ", ".join(f'"{package}"' for package in self.packages)
        build = f"cmake -S . -B target {self.arguments} && cmake --build target"
        self._write("deploy/system.toml", [f'build = "{build}"', f"packages = [{listed}]"])
        self._write("main.cpp", self.source)
        self._write("CMakeLists.txt", [
            "cmake_minimum_required(VERSION 3.23)", "project(program CXX)", *self.before_program,
            "add_executable(program main.cpp)", *self.cmake,
        ])
        for command in (["init", "--quiet"], ["add", "--all"],
                        ["-c", "user.name=test", "-c", "user.email=test@localhost",
                         "commit", "--quiet", "--message", "program"]):
            subprocess.run(["git", "-C", str(self.folder), *command], check=True)
        return check(self.folder)

    def _write(self, name, lines):
        (self.folder / name).write_text(textwrap.dedent("\n".join(lines)) + "\n")


class TheBuildOfAProject(unittest.TestCase):
    def setUp(self):
        folder = tempfile.mkdtemp(prefix="check_packages.")
        self.addCleanup(shutil.rmtree, folder)
        self.project = Project(folder)

    def unlisted_names(self):
        return {Path(path).name for path in self.project.check().unlisted}


class WithListedPackagesOnly(TheBuildOfAProject):
    def test_passes_and_names_headers_libraries_and_tools(self):
        findings = self.project.check()
        self.assertEqual(findings.unlisted, [])
        names = {Path(path).name for path in findings.inputs.all()}
        self.assertLessEqual({"xxhash.h", "libxxhash.so", "cmake", "gmake", "as"}, names)

    def test_may_use_what_a_listed_package_depends_on(self):
        self.project.source.insert(0, "#include <fmt/format.h>")
        self.assertEqual(self.unlisted_names(), set())


class WithAnEntryTakenOffTheList(TheBuildOfAProject):
    def test_fails_for_a_library(self):
        self.project.packages.remove("libxxhash-dev")
        self.assertLessEqual({"xxhash.h", "libxxhash.so"}, self.unlisted_names())

    def test_fails_for_a_tool(self):
        self.project.packages.remove("make")
        with self.assertRaises(BuildError):
            self.project.check()

    def test_fails_for_every_entry_of_our_list_that_no_other_entry_brings(self):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            listed = tomllib.load(file)["packages"]
        from debian_packages import PackageDatabase
        database = PackageDatabase()
        for package in listed:
            others = [other for other in listed if other != package]
            is_dependency = package in database.with_dependencies(others)
            self.assertEqual(is_dependency, package in {"libfmt-dev", "libboost-dev"}, package)


class WithAnUnlistedHeader(TheBuildOfAProject):
    def test_fails(self):
        self.project.source.insert(0, "#include <gflags/gflags.h>")
        self.assertIn("gflags.h", self.unlisted_names())


class WithAnUnlistedLibrary(TheBuildOfAProject):
    def test_fails_when_the_program_links_it(self):
        self.project.cmake.append("target_link_libraries(program PRIVATE gflags)")
        self.assertEqual(self.unlisted_names(), {"libgflags.so"})

    def test_fails_when_the_linker_drops_it(self):
        self.project.cmake += ["target_link_options(program PRIVATE -Wl,--as-needed)",
                               "target_link_libraries(program PRIVATE gflags)"]
        self.assertEqual(self.unlisted_names(), {"libgflags.so"})


class WithAnUnlistedTool(TheBuildOfAProject):
    def test_fails_when_it_is_called_by_name(self):
        self.project.before_program = [
            "execute_process(COMMAND gnuplot --version COMMAND_ERROR_IS_FATAL ANY)"]
        with self.assertRaises(BuildError):
            self.project.check()

    def test_fails_when_it_is_searched_for(self):
        self.project.before_program = ["find_program(PLOTTER gnuplot)"]
        self.assertLessEqual({"gnuplot"}, self.unlisted_names())

    def test_fails_when_ccache_starts_the_compiler(self):
        self.project.before_program = ["find_program(CCACHE ccache)",
                                       "set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})"]
        self.assertLessEqual({"ccache"}, self.unlisted_names())

    def test_fails_when_mold_links(self):
        self.project.before_program = ["add_link_options(-fuse-ld=mold)"]
        with self.assertRaises(BuildError):
            self.project.check()


class WithoutEvidence(TheBuildOfAProject):
    def test_fails_when_the_flags_of_the_trace_are_overridden(self):
        self.project.arguments = "-DCMAKE_EXE_LINKER_FLAGS=-s"
        with self.assertRaises(BuildError):
            self.project.check()


if __name__ == "__main__":
    unittest.main()
