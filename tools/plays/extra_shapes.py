"""Shapes of further answers: when a piece is sent, where it is cut, what is changed in it.

A shape is named CUT-WHEN or EDIT-CUT-WHEN. The times are `once` (with the answer), `late` (up to
400 ms later, also into the next answer) and `next` (just before the next answer's first byte).
"""

import random

LATE_S = 0.4


def head_end(data):
    return data.index(b"\r\n\r\n") + 4


def whole(data):
    return data


def in_head(data):
    return data[: random.randint(1, head_end(data) - 1)]


def at_line(data):
    """Ends with a line of the head, so that the next answer begins on a new line."""
    ends = [i + 2 for i in range(head_end(data) - 2) if data[i : i + 2] == b"\r\n"]
    return data[: random.choice(ends[:-1])]


def in_body(data):
    start = head_end(data)
    return data[: random.randint(start, max(start, len(data) - 1))]


def lines(data, change):
    """Changes the head's lines, without the empty one at its end."""
    end = head_end(data)
    head = change(data[: end - 4].split(b"\r\n"))
    return b"\r\n".join(head) + b"\r\n\r\n" + data[end:]


def is_id(line):
    return line.lower().startswith(b"request-id:")


def without_id(data, _):
    return lines(data, lambda head: [line for line in head if not is_id(line)])


def next_id(data, request):
    own = b"Request-Id: " + (request or "0").encode()
    return lines(data, lambda head: [own if is_id(line) else line for line in head])


def other_case(data, _):
    return lines(data, lambda head: [line.upper() if is_id(line) else line for line in head])


def twice(data, _):
    return lines(data, lambda head: [p for line in head for p in ([line] * (1 + is_id(line)))])


def twice_next(data, request):
    """The copy's own id, and the next request's."""
    own = b"Request-Id: " + (request or "0").encode()
    return lines(
        data, lambda head: [p for line in head for p in ([line, own] if is_id(line) else [line])])


def status(line):
    def change(data, _):
        head = data[: head_end(data)]
        return lines(head, lambda old: [line] + [
            x for x in old[1:] if not x.lower().startswith((b"content-length", b"transfer-enc"))])
    return change


def informational(_data, _request):
    return b"HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n\r\n"


def no_answer(_data, _request):
    letters = b"abcdefgh /.:\r\n0123456789"
    return bytes(random.choice(letters) for _ in range(random.randint(1, 60))) + b"\r\n\r\n"


def pipelined(data, _):
    return data * 3


def same(data, _):
    return data


CUTS = {"head": in_head, "line": at_line, "body": in_body, "whole": whole}
EDITS = {
    "noid": without_id, "othercase": other_case, "idtwice": twice, "idtwicenext": twice_next,
    "nextid": next_id, "unframed": no_answer, "103": informational,
    "204": status(b"HTTP/1.1 204 No Content"), "304": status(b"HTTP/1.1 304 Not Modified"),
    "three": pipelined,
}
TIMES = ("once", "late", "next")
# Kept apart: pieces inside a stream, and answers that are broken off.
IN_STREAM = ("instream-head", "instream-event", "instream-headcut")
BROKEN_OFF = ("cut-close", "cut-reset")
# A whole answer with the next request's id cannot be told from that request's answer.
UNDECIDABLE = {f"nextid-{cut}-{when}" for cut in ("whole", "body") for when in ("next", "late")}


def names():
    found = [f"{cut}-{when}" for cut in CUTS for when in TIMES]
    found += [f"{edit}-{cut}-{when}" for edit in EDITS for cut in CUTS for when in TIMES
              if not (edit == "unframed" and cut != "whole")]
    return [name for name in found if name not in UNDECIDABLE] + list(IN_STREAM + BROKEN_OFF)


def chosen(text):
    if text == "all":
        return names()
    prefixes = text.split(",")
    return [name for name in names()
            if any(name == p or name.startswith(p + "-") for p in prefixes)]


def piece(name, answer, request):
    """The bytes of a shape, from a complete answer and the id of the next request, if known."""
    parts = name.split("-")
    edit = EDITS.get(parts[0], same)
    if parts[0] == "three":
        return answer * 2 + CUTS[parts[1]](answer)
    return CUTS[parts[-2]](edit(answer, request))
