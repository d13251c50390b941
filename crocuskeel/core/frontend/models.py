"""Selects the model that an engine is asked for."""

from result import Err
from result import Ok

from crocuskeel import conf

__all__ = ["choose_model"]

_VERSION = ":"


def choose_model(daemon, event, policy):
    """Return Ok(model to set in the body) or Err(reason for refusal).

    Ok("") leaves the body unchanged. A model that the service lacks is
    refused here, because each engine in turn would answer 503 and appear
    to be unhealthy. A request that names no model, or its class instead
    of a model, gets the service's first model.
    """
    if policy.kind == "plain":
        return Ok("")
    service = conf.find_service(daemon.follower.tree, policy.service)
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
