"""Command that runs one or more stand-in engines in one process."""
import argparse

from standins import program


def new_parser():
    """Return the command-line parser."""
    parser = program.new_parser("stand-in model engines")
    program.add_count_options(parser)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--tpot", type=float, default=0.02)
    parser.add_argument("--prefill-per-token", type=float, default=0.0002)
    parser.add_argument("--max-kv-tokens", type=int, default=32768)
    parser.add_argument("--max-queue", type=int, default=32)
    parser.add_argument("--cache-tokens", type=int, default=8192)
    parser.add_argument("--cache-event-loss", type=float, default=0.05)
    parser.add_argument("--load-lag", type=float, default=2.0)
    parser.add_argument("--load-seconds", type=float, default=2.0)
    parser.add_argument("--grace", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--models", default="guide:1",
                        help="MODEL:VERSION pairs, comma-separated")
    parser.add_argument("--checks-fence", default=True,
                        action=argparse.BooleanOptionalAction)
    return parser


def main():
    """Serve the engines that the command line specifies until a signal."""
    parser = new_parser()
    args = parser.parse_args()
    endpoints = program.endpoints(parser, args)
    reactor = program.install_reactor()
    program.configure_logging()
    from standins import engine_app
    for endpoint in endpoints:
        engine_app.serve_engine(
            reactor, _config(endpoint.name, args), args.address, endpoint.port)
        program.log_listening(
            "engine", endpoint.name, args.address, endpoint.port)
    reactor.run()


def _config(name, args):
    from standins import batch
    from standins import engine_state
    models = tuple(tuple(pair.split(":", 1))
                   for pair in args.models.split(",") if pair)
    return engine_state.EngineConfig(
        name=name,
        batch=batch.BatchConfig(
            slots=args.slots,
            tpot=args.tpot,
            prefill_per_token=args.prefill_per_token,
            max_kv_tokens=args.max_kv_tokens,
            max_queue=args.max_queue),
        models=models,
        load_lag=args.load_lag,
        checks_fence=args.checks_fence,
        seed=args.seed,
        cache_tokens=args.cache_tokens,
        cache_event_loss=args.cache_event_loss,
        grace=args.grace,
        load_seconds=args.load_seconds)


if __name__ == "__main__":
    main()
