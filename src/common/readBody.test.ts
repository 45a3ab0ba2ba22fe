/**
 * A body that comes in as many pieces as it has bytes, read by a process with little memory.
 */
import { deepStrictEqual } from 'node:assert'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { test } from 'node:test'

const bodyBytes = 1_000_000
const heapMb = 48
const program = `
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { readBody } from ${JSON.stringify(new URL('readBody.js', import.meta.url).href)}

const server = createServer(async (request, response) => {
  const body = await readBody(request, ${String(bodyBytes)})
  response.end(String(body?.length))
})
server.listen(0, '127.0.0.1', () => {
  const socket = connect(server.address().port, '127.0.0.1')
  socket.write('POST / HTTP/1.1\\r\\nhost: x\\r\\nconnection: close\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n')
  const some = '1\\r\\nx\\r\\n'.repeat(1000)
  let left = ${String(bodyBytes / 1000)}
  const send = () => {
    while (left > 0) {
      left -= 1
      if (!socket.write(some)) {
        socket.once('drain', send)
        return
      }
    }
    socket.write('0\\r\\n\\r\\n')
  }
  send()
  let text = ''
  socket.on('data', (chunk) => (text += chunk))
  socket.on('close', () => {
    console.log(text.split('\\r\\n\\r\\n')[1])
    process.exit(0)
  })
})
`

// Guards against a process that runs out of memory by one body in many pieces.
test('a body in a million pieces is read by a process whose memory is a small multiple of its bytes', async () => {
  const flags = [`--max-old-space-size=${String(heapMb)}`, '--input-type=module', '-e', program]
  const child = spawn(process.execPath, flags, { stdio: ['ignore', 'pipe', 'ignore'] })
  let text = ''
  child.stdout.on('data', (chunk: Buffer) => {
    text += chunk.toString()
  })
  const ended: unknown[] = await once(child, 'close')
  deepStrictEqual([ended, text.trim()], [[0, null], String(bodyBytes)])
})
