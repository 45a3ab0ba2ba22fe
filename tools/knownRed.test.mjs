import { deepStrictEqual, throws } from 'node:assert'
import { test } from 'node:test'
import { knownRed } from './knownRed.mjs'

const listed = knownRed.read('\ntest | a | slow | 7\n test | b | c | odd | #8 \n')
const command = 'command | sh case/run.sh | seed 3 | falls | 9'
const ran = (name, passed, isFile = false) => ({ name, passed, isFile })

test('a list is read line by line, tests and commands', () => {
  deepStrictEqual(listed, [
    { kind: 'test', name: 'a', seen: 'slow', issue: '7' },
    { kind: 'test', name: 'b | c', seen: 'odd', issue: '#8' },
  ])
  deepStrictEqual(knownRed.read(command), [{ kind: 'command', command: 'sh case/run.sh', seed: 'seed 3', seen: 'falls', issue: '9' }])
  deepStrictEqual(knownRed.read(''), [])
})

test('a line that lacks a part, or is of no kind, is told', () => {
  for (const wrong of ['test', 'test | a', 'test | a | slow', 'test | a | slow |', 'test | | slow | 7', 'test | a || 7', '| a | slow | 7'])
    throws(() => knownRed.read(wrong), /KNOWN-RED/, wrong)
  for (const wrong of ['command', 'command | c | s | x', 'command | c | s | x |', 'command | | s | x | 9', 'command | c | | x | 9'])
    throws(() => knownRed.read(wrong), /KNOWN-RED/, wrong)
  for (const wrong of ['a | slow | 7', 'other | a | slow | 7', `${command} | more`]) throws(() => knownRed.read(wrong), /KNOWN-RED/, wrong)
})

test('listed tests that fail are passed over, and listed commands are told', () => {
  deepStrictEqual(knownRed.judge([...listed, ...knownRed.read(command)], [ran('a', false), ran('b | c', false), ran('d', true)]), {
    passedOver: ['known red: a | slow | 7', 'known red: b | c | odd | #8', 'known red, not run here: sh case/run.sh | seed 3 | falls | 9'],
    wrong: [],
  })
})

test('a listed command excuses no test', () => {
  deepStrictEqual(knownRed.judge(knownRed.read(command), [ran('sh case/run.sh', false)]).wrong, ['failed: sh case/run.sh'])
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
    knownRed.judge([{ kind: 'test', name: '/x', seen: 'c', issue: 'i' }], [ran('a', true), ran('/x', false, true), ran('/y', true, true)])
      .wrong,
    ['failed as a file: /x', 'registers no test: /y', 'known red, but there is no such test: /x'],
  )
})

test('an unsteady test may fail or pass, is told either way, and must exist', () => {
  const unsteady = knownRed.read('unsteady | u | 160 to 163 of 160 MB | 36')
  deepStrictEqual(knownRed.judge(unsteady, [ran('u', false)]), {
    passedOver: ['known red, unsteady, failed here: u | 160 to 163 of 160 MB | 36'],
    wrong: [],
  })
  deepStrictEqual(knownRed.judge(unsteady, [ran('u', true)]), {
    passedOver: ['known red, unsteady, passed here: u | 160 to 163 of 160 MB | 36'],
    wrong: [],
  })
  deepStrictEqual(knownRed.judge(unsteady, [ran('d', true)]).wrong, ['known red, but there is no such test: u'])
})
