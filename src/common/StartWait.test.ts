import { deepStrictEqual, rejects, strictEqual } from 'node:assert'
import { test } from 'node:test'
import { StartWait } from './StartWait.js'
import { StopAskedError } from './StopAskedError.js'

const busy = new Error('busy')
const never = new AbortController().signal

function step(failures: number, error = busy) {
  let tried = 0
  return {
    resource: 'the thing',
    attempt: () => {
      tried += 1
      return tried > failures ? Promise.resolve(tried) : Promise.reject(error)
    },
    mayPass: (failure: unknown) => failure === busy,
  }
}

test('a step that fails for a while is tried again, and says so in one line', async () => {
  const said: string[] = []
  const wait = new StartWait((sentence) => said.push(sentence), never)
  strictEqual(await wait.until(step(3)), 4)
  deepStrictEqual(said, ['The start waits for the thing: busy.'])
})

test('a failure that cannot pass ends the wait at once', async () => {
  const said: string[] = []
  const wrong = new Error('wrong')
  await rejects(new StartWait((sentence) => said.push(sentence), never).until(step(1, wrong)), wrong)
  deepStrictEqual(said, [])
})

test('a wait ends with the last failure when the time of the start is over', async () => {
  const wait = new StartWait(() => undefined, never, 120)
  await rejects(wait.until(step(Infinity)), busy)
})

test('a wait ends as soon as the process is asked to stop', async () => {
  const stop = new AbortController()
  const waiting = new StartWait(() => undefined, stop.signal).until(step(Infinity))
  stop.abort()
  await rejects(waiting, StopAskedError)
})

test('no patience gives up at the first failure', async () => {
  await rejects(StartWait.none.until(step(1)), busy)
})
