"""Problem details (RFC 9457) and other JSON bodies for callers."""

import json
import math

from crocuskeel.core import problems

__all__ = ["CONTENT_TYPE", "as_dict", "error_event", "write_json",
           "write_problem"]

CONTENT_TYPE = "application/problem+json"
_REDIRECT_STATUS = 307
_JSON_TYPE = "application/json"


def as_dict(problem):
    """Return the members of the problem's JSON object."""
    problem_type = problems.PROBLEM_TYPES[problem.reason]
    return {
        "type": f"urn:crocuskeel:problem:{problem.reason}",
        "title": problem_type.title,
        "status": problem_type.status,
        "detail": problem.detail,
        "code": str(problem.reason),
        "outcome": str(problem.outcome),
        "retry_after": round(problem.retry_after_s, 3),
    }


def write_problem(req, problem, location=""):
    """Write a complete problem response and finish the request.

    A ``location`` ("address:port") makes it a redirect to that host.
    """
    body = as_dict(problem)
    if location:
        body["status"] = _REDIRECT_STATUS
        target = b"http://" + location.encode() + req.uri
        req.setHeader(b"Location", target)
    if problem.retry_after_s > 0:
        seconds = math.ceil(problem.retry_after_s)
        req.setHeader("Retry-After", str(seconds))
    write_json(req, body, body["status"], CONTENT_TYPE)


def write_json(req, body, status=200, content_type=_JSON_TYPE):
    """Write a complete JSON response and finish the request."""
    data = json.dumps(body).encode()
    req.setResponseCode(status)
    req.setHeader("Content-Type", content_type)
    req.setHeader("Content-Length", str(len(data)))
    req.write(data)
    req.finish()


def error_event(problem):
    """Return the event that ends a stream which can't continue."""
    data = json.dumps(as_dict(problem)).encode()
    return b"event: error\ndata: " + data + b"\n\n"
