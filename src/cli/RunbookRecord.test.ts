import { test } from 'node:test'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { deepStrictEqual, strictEqual } from 'node:assert'
import { RunbookRecord } from './RunbookRecord.js'

test('a run goes on behind the last step that was done', () => {
  const folder = mkdtempSync(join(tmpdir(), 'record-'))
  const path = join(folder, 'r.jsonl')
  const record = RunbookRecord.begin(path, 'empty-zone', { zone: 'b' })
  record.step({ step: 0, title: 'a', ended: 'done', saw: '' })
  record.step({ step: 1, title: 'b', ended: 'failed', saw: '' })
  const again = RunbookRecord.resume(path)
  if (typeof again === 'string') throw new Error(again)
  deepStrictEqual([again.next, again.run], [1, record.run])
  strictEqual(typeof RunbookRecord.resume(join(folder, 'none')), 'string')
  rmSync(folder, { recursive: true })
})
