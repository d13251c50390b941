"""Noise of an engine's machine: stretches in which it is slowed down."""

__all__ = ["start"]


def start(engine, rng):
    """Begin the stretches of an engine's noise, if its settings have any.

    Stretches with noise last from 0.5 to 1.5 times ``noise_ms``, those
    without are exponentially distributed, so that engines don't slow down
    in step. A step that is under way keeps its duration.
    """
    cfg = engine.cfg
    if cfg.noise_share <= 0:
        return
    pause_ms = cfg.noise_ms * (1 - cfg.noise_share) / cfg.noise_share

    def switch(noisy):
        if engine.down:
            return
        engine.noise = cfg.noise_times if noisy else 1.0
        span_ms = (cfg.noise_ms * rng.uniform(0.5, 1.5) if noisy
                   else rng.expovariate(1 / pause_ms))
        engine.clock.after(span_ms / 1e3, switch, not noisy)

    switch(rng.random() < cfg.noise_share)
