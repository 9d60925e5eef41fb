"""HTTP/1.1 over asyncio streams, as much of it as the stand-ins need."""

import asyncio


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the start line and the header fields; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Returns the bytes of one chunk; b"" is the last one."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            while True:
                data = await read_chunk(reader)
                if not data:
                    break
                body += data
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def response(status, body=b"", headers=None, reason="Status"):
    lines = ["HTTP/1.1 %d %s" % (status, reason)]
    lines += ["%s: %s" % item for item in (headers or {}).items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(host, port, handler):
    """Calls handler(request, reader, writer) for each request; it returns False to close."""

    async def on_connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await handler(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, backlog=512)


class Answer:
    """What a client has received; complete only if the framing says so."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.why = ""


async def read_answer(reader, answer, on_data=None):
    head = await read_head(reader)
    if head is None:
        answer.why = "closed before the head"
        return answer
    line, answer.headers = head
    answer.status = int(line.split(" ")[1])
    try:
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                data = await read_chunk(reader)
                if not data:
                    break
                answer.body += data
                if on_data:
                    on_data(answer)
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
        answer.complete = True
    except (asyncio.IncompleteReadError, ConnectionError) as e:
        answer.body += getattr(e, "partial", b"")
        answer.why = "closed before the end"
    return answer


async def call(host, port, data, timeout_s, on_data=None):
    """Sends a request on a new connection and reads the answer."""
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1.0)
        writer.write(data)
        await asyncio.wait_for(read_answer(reader, answer, on_data), timeout_s)
    except asyncio.TimeoutError:
        answer.why = "no answer in time"
    except OSError as e:
        answer.why = answer.why or type(e).__name__
    finally:
        if writer:
            writer.close()
    return answer
