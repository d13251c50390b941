"""Rules on a deployment's fields that depend on each other."""

import dataclasses

from crocuskeel.programs import config_files

__all__ = ["errors", "with_scheduling"]


def errors(deployment):
    """Return the FileErrors of a deployment's noise, faults, scheduling.

    Parts that could not be read have been reported, and are left out.
    """
    found = []
    engines = deployment.engines
    if engines is not None:
        if engines.noise_share >= 1:
            found.append(config_files.FileError(
                "emulator.E009", f"noise_share is {engines.noise_share!r}",
                "a number below one"))
        found += [config_files.FileError(
            "emulator.E009", f"{name} is 0", "a number above zero")
            for name in ("noise_times", "noise_ms")
            if not getattr(engines, name)]
    names = [kind.name for kind in deployment.kinds]
    for fault in deployment.faults:
        found += _fault_errors(fault, names, deployment.workspaces)
    if deployment.scheduling is not None:
        found += _scheduling_errors(deployment.scheduling)
    return found


def _fault_errors(fault, names, workspaces):
    if fault.kind == "class_burst":
        if fault.of not in names:
            yield config_files.FileError(
                "emulator.E010", f"class_burst of {fault.of!r}",
                f"one of {', '.join(names)}")
    elif fault.of:
        yield config_files.FileError(
            "emulator.E010", f"{fault.kind} of {fault.of!r}",
            "only class_burst is about a kind")
    least = {"class_burst": 0, "hot_workspace": 1}.get(fault.kind)
    if least is not None and fault.times <= least:
        yield config_files.FileError(
            "emulator.E010", f"{fault.kind} with times {fault.times!r}",
            f"a number above {least}")
    if fault.kind == "hot_workspace" and not workspaces:
        yield config_files.FileError(
            "emulator.E010", "hot_workspace without workspaces",
            "set workspaces to their number")


def with_scheduling(deployment, text):
    """Return a deployment with the scheduling that a JSON object sets.

    ``text`` None leaves the deployment's own. Raises InvalidFileError.
    """
    if text is None:
        return deployment
    values = config_files.parse_object(text, "emulator")
    found = _scheduling_errors(values)
    if found:
        raise config_files.InvalidFileError(found)
    return dataclasses.replace(deployment, scheduling=values)


def _scheduling_errors(values):
    """Return the FileErrors of the names of scheduling settings."""
    if not isinstance(values, dict):
        return [config_files.FileError(
            "emulator.E011", f"scheduling is {values!r}", "write { ... }")]
    # Imported only if it is used: versions without scheduling lack it.
    try:
        from crocuskeel.core.scheduling import settings
    except ImportError:
        return [config_files.FileError(
            "emulator.E011", "scheduling is set",
            "hosts of this version have no scheduling")]
    known = {field.name for field in dataclasses.fields(settings.Settings)}
    return [config_files.FileError(
        "emulator.E011", f"unknown name {name} in scheduling",
        f"one of {', '.join(sorted(known))}")
        for name in values if name not in known]
