"""Fills in a settings template of the deploy folder, by the rules of the page on the deploy file."""

import json
import re

TOKEN = re.compile(r"\{\{([#^/]?)([^{}]*?)(\|json)?\}\}")


def lookup(name, scopes):
    for scope in reversed(scopes):
        value, found = scope, True
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                found = False
                break
        if found:
            return value
    return None


def split_section(text, name):
    """Returns the text of the section that begins at `text`, and what follows its end."""
    depth, at = 1, 0
    for match in TOKEN.finditer(text):
        if match.group(2) != name or match.group(1) not in "#^/" or not match.group(1):
            continue
        depth += -1 if match.group(1) == "/" else 1
        if depth == 0:
            return text[at:match.start()], text[match.end():]
    raise ValueError("section without an end: " + name)


def shown(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(shown(item, False) for item in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(text, fields, scopes=None, item=None):
    scopes = scopes or [fields]
    result = ""
    while True:
        match = TOKEN.search(text)
        if not match:
            return result + text
        result += text[:match.start()]
        text = text[match.end():]
        kind, name, as_json = match.groups()
        if kind in ("#", "^"):
            inner, text = split_section(text, name)
            value = lookup(name, scopes)
            result += render_section(kind, inner, value, fields, scopes)
        elif name == ".":
            result += shown(item["value"] if item else fields, bool(as_json))
        elif name == "@":
            result += str(item["key"])
        elif name == ",":
            result += "" if item["last"] else ","
        else:
            result += shown(lookup(name, scopes), bool(as_json))


def render_section(kind, inner, value, fields, scopes):
    if kind == "^":
        return render(inner, fields, scopes) if not value else ""
    if not value:
        return ""
    if not isinstance(value, (list, dict)):
        return render(inner, fields, scopes)
    pairs = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
    parts = []
    for index, (key, entry) in enumerate(pairs):
        item = {"key": key, "value": entry, "last": index + 1 == len(pairs)}
        inside = scopes + ([entry] if isinstance(entry, dict) else [])
        parts.append(render(inner, fields, inside, item))
    return "".join(parts)
