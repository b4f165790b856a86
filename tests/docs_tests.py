"""Checks that the documentation and the code list the same metrics, keys, commands and calls."""

import os
import re
import unittest

SOURCE = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def read(path):
    with open(os.path.join(SOURCE, path)) as text:
        return text.read()


class Pages(unittest.TestCase):
    def compare(self, code, page, items):
        self.assertTrue(code, "found no %s in the code" % items)
        self.assertEqual(sorted(code - page), [], items + " missing from the page")
        self.assertEqual(sorted(page - code), [], items + " missing from the code")

    def test_metrics(self):
        code = set(re.findall(r'"(sardinerun_[a-z_]+)"', read("src/telemetry/internal/metrics.cpp")))
        page = set(re.findall(r"^\| `(sardinerun_[a-z_]+)`", read("docs/OPERATIONS.md"), re.M))
        self.compare(code, page, "metrics")

    def keys(self, path):
        readers = r'(?:name|text|textOr|texts|integer|integerOr|flagOr|object|objectOr|objects|readMs|readAddress|readNamed)'
        return set(re.findall(readers + r'\((?:reader, )?"([A-Za-z]+)"', read(path)))

    def test_settings(self):
        section = read("docs/OPERATIONS.md").split("## Settings of a node")[1].split("\n## ")[0]
        page = {it.split(".")[-1] for it in re.findall(r"^\| `([A-Za-z.]+)`", section, re.M)}
        code = self.keys("src/settings/internal/nodesettings.cpp") - {"callers", "membership", "workers", "log", "retention"}
        self.compare(code, page, "settings")

    def test_dispatch_settings(self):
        section = read("docs/OPERATIONS.md").split("## Settings of a dispatching node")[1].split("\n## ")[0]
        page = {it.split(".")[-1] for it in re.findall(r"^\| `([A-Za-z.]+)`", section, re.M)}
        text = read("src/settings/internal/dispatchsettings.cpp")
        code = set(re.findall(r'(?:\w+Or|name|addressOf)\((?:reader, )?"([A-Za-z]+)"', text)) - {"workers", "teams"}
        self.compare(code, page, "settings of a dispatching node")

    def test_log_lines(self):
        """Every log event that the page uses to trace a failed request exists in the code."""
        section = read("docs/OPERATIONS.md").split("## From a failed request to its cause")[1].split("\n## ")[0]
        page = set(re.findall(r'"event":"([a-z-]+)"', section)) | set(re.findall(r"`([a-z]+-[a-z-]+)`", section))
        page -= {"not-now", "member-ended"}
        code = set()
        for folder in ("src", "platform"):
            for path, _, names in os.walk(os.path.join(SOURCE, folder)):
                for name in names:
                    if name.endswith(".cpp"):
                        code |= set(re.findall(r'"([a-z-]+)"', read(os.path.join(path, name))))
        code.add("log-lines-dropped")
        self.assertEqual(sorted(page - code), [], "log events missing from the code")

    def test_named_tests(self):
        """Every test that the pages of proofs and incidents name in full exists in the code."""
        pages = ["docs/PROOFS.md"] + ["docs/incidents/" + it for it in os.listdir(os.path.join(SOURCE, "docs/incidents"))]
        named = set()
        for it in pages:
            named |= set(re.findall(r"(?<![\w/])[a-z0-9]+(?:_[a-z0-9]+){4,}(?![\w…])", read(it)))
        code = set()
        for folder in ("src", "platform", "tests"):
            for path, _, names in os.walk(os.path.join(SOURCE, folder)):
                for name in names:
                    if name.endswith(("_tests.cpp", "_tests.py")):
                        text = read(os.path.join(path, name))
                        code |= set(re.findall(r"_TEST_CASE\((\w+)", text)) | set(re.findall(r"def test_(\w+)", text))
        code |= {"process_" + it for it in code}
        self.assertTrue(named, "found no names of tests on the pages")
        self.assertEqual(sorted(named - code), [], "tests missing from the code")

    def test_configuration(self):
        section = read("docs/OPERATIONS.md").split("## Configuration of all nodes")[1].split("\n## ")[0]
        page = {it.split(".")[-1] for it in re.findall(r"^\| `([A-Za-z.]+)`", section, re.M)}
        code = self.keys("src/configuration/internal/readconfiguration.cpp") - {"services", "teams", "presets", "routes", "tokens",
                                                                                "usage", "requests"}
        page -= {"urgent", "normal", "low"}
        self.compare(code, page, "configuration keys")

    def test_commands(self):
        code = set(re.findall(r'^        \{ "([a-z-]+)", "', read("src/app/internal/commands.cpp"), re.M))
        page = set(re.findall(r"^\| `sardinerun ([a-z-]+)", read("docs/OPERATIONS.md"), re.M))
        self.compare(code, page, "commands")

    def test_calls(self):
        code = set(re.findall(r'\{ "([A-Z]+)", "(/[^"]*)"', read("src/api/internal/api.cpp")))
        page = {(m, p.split("?")[0]) for m, p in re.findall(r"^\| `([A-Z]+) (/[^`]*)`", read("docs/API.md"), re.M)}
        self.compare(code, page, "calls")


if __name__ == "__main__":
    unittest.main()
