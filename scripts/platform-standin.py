#!/usr/bin/env python3
"""A backend server that speaks the protocol of the users' platform, for scripts/mixed-builds.sh.

usage: platform-standin.py HOST PORT
"""
import http.server
import sys

SERVER_ID = 's1'


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def answer(self):
        self.rfile.read(int(self.headers.get('Content-Length', 0)))
        body = b'done'
        self.send_response(200)
        self.send_header('X-Server-Load', '0,0,2,100')
        self.send_header('X-Instance-Id', SERVER_ID)
        if self.path != '/health':
            self.send_header('X-Server-Stamp', 'stamp')
            self.send_header('X-Request-Id', self.headers['X-Request-Id'])
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = answer

    def log_message(self, *args):
        pass


if len(sys.argv) != 3:
    sys.exit(__doc__)
http.server.ThreadingHTTPServer((sys.argv[1], int(sys.argv[2])), Handler).serve_forever()
