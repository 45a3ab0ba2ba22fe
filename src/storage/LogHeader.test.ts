import { test } from 'node:test'
import { deepStrictEqual, throws } from 'node:assert'
import { LogHeader } from './LogHeader.js'

const header = LogHeader.encode(Buffer.from('12345678'), 4711)

function flipped(at: number): Buffer {
  const bytes = Buffer.from(header)
  bytes.writeUInt8(bytes.readUInt8(at) ^ 0x10, at)
  return bytes
}

test('a header is read back, with a seed that its file id makes', () => {
  const { bornBytes, seed } = LogHeader.decode(header, 'log')
  deepStrictEqual(bornBytes, 4711)
  deepStrictEqual(LogHeader.decode(LogHeader.encode(Buffer.from('12345679'), 4711), 'log').seed === seed, false)
})

test('each byte that is wrong is told by its kind: another format, another version, damage', () => {
  const kinds = [...Array<string>(8).fill('foreign'), ...Array<string>(4).fill('version'), ...Array<string>(20).fill('damaged')]
  for (const [at, kind] of kinds.entries()) throws(() => LogHeader.decode(flipped(at), '/data/log'), { kind, exitCode: 65 })
})

test('the message names path, version and offset, and what to do', () => {
  throws(() => LogHeader.decode(Buffer.from('a text of another program'), '/data/log'), {
    message: /^\/data\/log is no log of this program: .* offset 0; nothing was changed\. Check the data folder/,
  })
  const newer = Buffer.from(header)
  newer.writeUInt32BE(2, 8)
  throws(() => LogHeader.decode(newer, '/data/log'), {
    message: /^\/data\/log has format version 2 at offset 8, .* reads version 1; nothing was changed\. Start the version/,
  })
  throws(() => LogHeader.decode(header.subarray(0, 20), '/data/log'), { kind: 'damaged', message: /version 1\) is damaged at offset 0/ })
})
