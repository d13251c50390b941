"""Which model a request goes to an engine with."""

from result import Err
from result import Ok

from crocuskeel import conf

__all__ = ["choose"]

_VERSION = ":"


def choose(daemon, event, policy):
    """Return Ok of the model to put in the body, Err of a refusal.

    Ok("") leaves the body as it is. A model that the service lacks is
    refused here: engines would answer 503 to it one after the other,
    and each would look as if it were in trouble. A request that names
    no model, or its class in place of one, gets the service's first.
    """
    if policy.kind == "plain":
        return Ok("")
    service = conf.service(daemon.follower.tree, policy.service)
    if service is None or not service.models:
        return Ok("")
    names = [model.partition(_VERSION)[0] for model in service.models]
    if event.model in names or event.model in service.models:
        return Ok("")
    by_class = not event.class_name and event.model == policy.name
    if by_class or not event.model:
        return Ok(names[0])
    return Err(f"{policy.service} serves {', '.join(names)}, "
               f"not {event.model}")
