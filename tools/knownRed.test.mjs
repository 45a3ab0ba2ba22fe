import { deepStrictEqual, throws } from 'node:assert'
import { test } from 'node:test'
import { knownRed } from './knownRed.mjs'

const listed = knownRed.read('\na | slow | 7\n b | c | odd | #8 \n')
const ran = (name, passed, isFile = false) => ({ name, passed, isFile })

test('a list is read line by line, and a line that lacks a part is told', () => {
  deepStrictEqual(listed, [
    { name: 'a', cause: 'slow', issue: '7' },
    { name: 'b | c', cause: 'odd', issue: '#8' },
  ])
  deepStrictEqual(knownRed.read(''), [])
  for (const wrong of ['a', 'a | slow', 'a | slow |', '| slow | 7', 'a || 7']) throws(() => knownRed.read(wrong), /KNOWN-RED/)
})

test('listed tests that fail are passed over', () => {
  deepStrictEqual(knownRed.judge(listed, [ran('a', false), ran('b | c', false), ran('d', true)]), {
    passedOver: ['known red: a | slow | 7', 'known red: b | c | odd | #8'],
    wrong: [],
  })
})

test('an unlisted failure, a listed pass and a listed name without a test are wrong', () => {
  deepStrictEqual(knownRed.judge(listed, [ran('a', true), ran('d', false)]).wrong, [
    'failed: d',
    'known red, but it passes: a',
    'known red, but there is no such test: b | c',
  ])
  deepStrictEqual(knownRed.judge(listed, [ran('a', false), ran('a', true), ran('b | c', false)]).wrong, ['known red, but it passes: a'])
})

test('no test at all, a file that breaks and a file without tests are wrong, listed or not', () => {
  deepStrictEqual(knownRed.judge([], []).wrong, ['no test ran'])
  deepStrictEqual(
    knownRed.judge([{ name: '/x', cause: 'c', issue: 'i' }], [ran('a', true), ran('/x', false, true), ran('/y', true, true)]).wrong,
    ['failed as a file: /x', 'registers no test: /y', 'known red, but there is no such test: /x'],
  )
})
