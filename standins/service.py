"""Command that runs one or more stand-in plain services in one process."""
from standins import program


def new_parser():
    """Return the command-line parser."""
    parser = program.new_parser("stand-in plain services")
    program.add_count_options(parser)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--work-seconds", type=float, default=0.02)
    return parser


def main():
    """Serve the services that the command line specifies until a signal."""
    parser = new_parser()
    args = parser.parse_args()
    endpoints = program.endpoints(parser, args)
    reactor = program.install_reactor()
    program.configure_logging()
    from standins import service_app
    for endpoint in endpoints:
        cfg = service_app.ServiceConfig(
            endpoint.name, args.slots, args.work_seconds)
        service_app.serve_service(reactor, cfg, args.address, endpoint.port)
        program.log_listening(
            "service", endpoint.name, args.address, endpoint.port)
    reactor.run()


if __name__ == "__main__":
    main()
