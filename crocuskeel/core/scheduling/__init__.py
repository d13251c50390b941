"""Order, admission and placement of requests that wait for engines."""
