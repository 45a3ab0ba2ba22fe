import { deepStrictEqual, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { RouteFormat } from './RouteFormat.js'

const onward = { leftMs: 900.9, server: 's-1', urgency: 3, resumeAfter: undefined, model: true }

test('what a caller says is read whole, and its absence as nothing', () => {
  deepStrictEqual(
    RouteFormat.arrival({
      'request-id': 'r-1',
      'due-ms': '1200',
      'resume-after': '4',
      model: 'm/a1',
      tokens: '30,8',
      parts: 'p:20,q:10',
    }),
    {
      id: 'r-1',
      dueInMs: 1200,
      resumeAfter: '4',
      model: 'm',
      adapter: 'a1',
      promptTokens: 30,
      parts: [
        { id: 'p', tokens: 20 },
        { id: 'q', tokens: 10 },
      ],
    },
  )
  deepStrictEqual(RouteFormat.arrival({}), {
    id: '',
    dueInMs: undefined,
    resumeAfter: undefined,
    model: '',
    adapter: '',
    promptTokens: 0,
    parts: [],
  })
})

test('odd numbers are passed over: a due that is none, counts that are 0', () => {
  for (const odd of ['-1', '1.5', 'soon', '1e3', '1234567890123']) strictEqual(RouteFormat.arrival({ 'due-ms': odd }).dueInMs, undefined)
  strictEqual(RouteFormat.arrival({ tokens: '-4,x' }).promptTokens, 0)
  deepStrictEqual(RouteFormat.arrival({ parts: ',p,,q:x,' }).parts, [
    { id: 'p', tokens: 0 },
    { id: 'q', tokens: 0 },
  ])
})

test('a server is told who is meant, what is left and, for a model, how urgent it is', () => {
  deepStrictEqual(RouteFormat.onward({ host: 'h', 'due-ms': '5000', connection: 'x-own', 'x-own': '1', 'x-kept': '2' }, onward), {
    host: 'h',
    'x-kept': '2',
    'due-ms': '900',
    'for-server': 's-1',
    urgency: '3',
  })
  deepStrictEqual(RouteFormat.onward({ 'resume-after': '1' }, { ...onward, leftMs: 0, model: false, resumeAfter: '7' }), {
    'due-ms': '1',
    'for-server': 's-1',
    'resume-after': '7',
  })
})

test('an answer is told by its id, its seal and its verdict', () => {
  deepStrictEqual(RouteFormat.reply(200, { 'request-id': 'r-1', seal: 'x' }), { notRun: false, sealed: true, id: 'r-1' })
  deepStrictEqual(RouteFormat.reply(503, { 'request-id': 'r-1', verdict: 'NotRun' }), { notRun: true, sealed: false, id: 'r-1' })
  deepStrictEqual(RouteFormat.reply(503, { verdict: 'MayHaveRun' }), { notRun: false, sealed: false, id: undefined })
})

test('a refusal carries the id and when to come back, no sooner than in a millisecond', () => {
  deepStrictEqual(RouteFormat.refusal('r-1', 1500), { 'request-id': 'r-1', 'retry-after': '1.500' })
  deepStrictEqual(RouteFormat.refusal('', -5), { 'retry-after': '0.001' })
})
