"""Runs one case of the command line and compares what it prints.

A case NAME is: cases/NAME-arguments.txt (one argument a line), and what is
expected: NAME-stdout.txt, NAME-stderr.txt, NAME-result.txt (the exit code). A
missing file means nothing printed, or 0. Usage: run_case.py BINARY NAME
"""
import pathlib
import subprocess
import sys

CASES = pathlib.Path(__file__).resolve().parent / "cases"


def expected(name, kind, default=""):
    path = CASES / ("%s-%s.txt" % (name, kind))
    return path.read_text() if path.exists() else default


def main():
    binary, name = sys.argv[1:]
    arguments = expected(name, "arguments").splitlines()
    result = subprocess.run([binary] + arguments, capture_output=True,
                            text=True, cwd=CASES, check=False)
    good = True
    for kind, got, wanted in (
            ("stdout", result.stdout, expected(name, "stdout")),
            ("stderr", result.stderr, expected(name, "stderr")),
            ("result", str(result.returncode),
             expected(name, "result", "0").strip())):
        if got != wanted:
            good = False
            print("%s: got\n%s\nexpected\n%s" % (kind, got, wanted))
    return 0 if good else 1


sys.exit(main())
