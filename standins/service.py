"""Program: one or several stand-in plain services in one process."""
from standins import program


def new_parser():
    """Return the parser of the command line."""
    parser = program.new_parser("stand-in plain services")
    program.add_count(parser)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--work-seconds", type=float, default=0.02)
    return parser


def main():
    """Serve the services of the command line until a signal."""
    parser = new_parser()
    args = parser.parse_args()
    places = program.places(parser, args)
    reactor = program.install_reactor()
    program.begin_logs()
    from standins import service_app
    for place in places:
        cfg = service_app.ServiceConfig(
            place.name, args.slots, args.work_seconds)
        service_app.serve_service(reactor, cfg, args.address, place.port)
        program.log_listening(
            "service", place.name, args.address, place.port)
    reactor.run()


if __name__ == "__main__":
    main()
