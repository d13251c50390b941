"""Command that runs the stand-in platform."""
import json
import pathlib

from standins import program


def new_parser():
    """Return the command-line parser."""
    parser = program.new_parser("stand-in platform")
    parser.add_argument("--hosts", type=pathlib.Path,
                        help='JSON file: {"hosts": [...]}')
    parser.add_argument("--host-list-lag", type=float, default=1.0)
    parser.add_argument("--token", default="token")
    return parser


def main():
    """Serve the platform that the command line specifies until a signal."""
    parser = new_parser()
    args = parser.parse_args()
    if args.port is None:
        parser.error("--port is required")
    reactor = program.install_reactor()
    program.configure_logging()
    from standins import object_api
    platform = object_api.new_platform(
        reactor, _read_hosts(args.hosts), args.host_list_lag, args.token)
    object_api.serve_platform(platform, args.address, args.port)
    program.log_listening("platform", "platform", args.address, args.port)
    reactor.run()


def _read_hosts(path):
    if path is None:
        return []
    return json.loads(path.read_text())["hosts"]


if __name__ == "__main__":
    main()
