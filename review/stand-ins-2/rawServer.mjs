/**
 * A server that reads requests of HTTP/1.1 with a length and writes its answers as raw bytes, so that it can also answer as a
 * server in trouble does. `answer(request, socket)` is called for each whole request, one at a time on a connection.
 */
import net from 'node:net'

export function rawServer(ip, port, answer) {
  const sockets = new Set()
  const server = net.createServer({ noDelay: true }, (socket) => {
    sockets.add(socket)
    let rest = Buffer.alloc(0)
    socket.on('error', () => undefined)
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', (part) => {
      rest = Buffer.concat([rest, part])
      for (;;) {
        const end = rest.indexOf('\r\n\r\n')
        if (end < 0) return
        const [first = '', ...lines] = rest.subarray(0, end).toString('latin1').split('\r\n')
        const headers = Object.fromEntries(
          lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]),
        )
        const length = Number(headers['content-length'] ?? 0)
        if (rest.length < end + 4 + length) return
        const body = rest.subarray(end + 4, end + 4 + length)
        rest = rest.subarray(end + 4 + length)
        const [method = '', path = ''] = first.split(' ')
        answer({ method, path, headers, body }, socket)
      }
    })
  })
  server.listen(port, ip)
  return {
    close() {
      server.close()
      for (const socket of sockets) socket.destroy()
    },
  }
}
