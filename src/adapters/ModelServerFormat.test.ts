import { test } from 'node:test'
import { strictEqual } from 'node:assert'
import { ModelServerFormat } from './ModelServerFormat.js'

test('a hostile report is no report', () => {
  for (const wrong of ['', 'null', '{"server":"a"}', '{"server":"a","incarnation":"i","madeMs":"x","models":[],"adapters":[]}'])
    strictEqual(ModelServerFormat.report(wrong), undefined)
  strictEqual(ModelServerFormat.report('{"server":"a","incarnation":"i","madeMs":1,"models":[],"adapters":[]}')?.madeMs, 1)
})
