import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { z } from 'zod'
import { Traces } from './Traces.js'

const ServerConnection = z.object({
  resourceSpans: z.array(
    z.object({
      scopeSpans: z.array(
        z.object({ spans: z.array(z.object({ name: z.string(), parentSpanId: z.string().optional(), traceId: z.string() })) }),
      ),
    }),
  ),
})

test('a request and its attempt are one trace in the file, and nothing is written when it is off', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'traces-'))
  const file = join(folder, 'traces.jsonl')
  for (const where of [undefined, file]) {
    const traces = new Traces('post-1', where)
    const request = traces.begin('request', { 'request.id': 'r1' })
    traces.end(traces.begin('attempt', { server: 's' }, request), {}, 'broke')
    traces.end(request, { outcome: 'responded' }, '')
    await traces.close()
  }
  const text = await readFile(file, 'utf8')
  const spans = ServerConnection.parse(JSON.parse(text))
    .resourceSpans.flatMap((one) => one.scopeSpans)
    .flatMap((one) => one.spans)
  strictEqual(
    spans
      .map((one) => one.name)
      .sort()
      .join(),
    'attempt,request',
  )
  strictEqual(new Set(spans.map((one) => one.traceId)).size, 1)
  strictEqual(spans.filter((one) => (one.parentSpanId ?? '') !== '').length, 1)
  await rm(folder, { recursive: true })
})
