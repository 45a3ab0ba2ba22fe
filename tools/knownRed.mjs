// The known-red list: what may fail for a written cause, one line each. A test of the default run, which must fail:
// `test | its name | what was seen | issue`. A command outside that run, which is printed and not run:
// `command | the command | seed | what was seen | issue`. A test that fails in some runs and passes in others on the same sources:
// `unsteady | its name | what was measured | issue`; it is printed either way, and must exist.
const form =
  'none of "test | name | what was seen | issue", "unsteady | name | what was measured | issue" and "command | command | seed | what was seen | issue"'
const commandParts = 5
const testParts = 4

function readLine(line) {
  const parts = line.split('|').map((part) => part.trim())
  const [kind] = parts
  const [seen, issue] = parts.slice(-2)
  if (kind === 'command' && parts.length === commandParts && parts.every((part) => part !== '')) {
    const [, command, seed] = parts
    return { kind, command, seed, seen, issue }
  }
  // A test's name may hold bars itself.
  const name = line.split('|').slice(1, -2).join('|').trim()
  if ((kind === 'test' || kind === 'unsteady') && parts.length >= testParts && name !== '' && seen !== '' && issue !== '')
    return { kind, name, seen, issue }
  throw new Error(`KNOWN-RED.txt: ${form}: ${line}`)
}

export const knownRed = {
  /** The entries of the list; throws on a line that is none. */
  read(text) {
    return text
      .split('\n')
      .filter((line) => line.trim() !== '')
      .map(readLine)
  },

  /** What was passed over and what is wrong, from the list and from what ran: a name, whether it passed, and whether it stands for a file. */
  judge(listed, ran) {
    const tests = ran.filter((one) => !one.isFile)
    const listedTests = listed.filter((one) => one.kind === 'test' || one.kind === 'unsteady')
    const passedOver = []
    const wrong = []
    if (tests.length === 0) wrong.push('no test ran')
    for (const one of ran) {
      if (one.isFile) wrong.push(one.passed ? `registers no test: ${one.name}` : `failed as a file: ${one.name}`)
      else if (!one.passed && !listedTests.some(({ name }) => name === one.name)) wrong.push(`failed: ${one.name}`)
    }
    for (const { kind, name, seen, issue } of listedTests) {
      const found = tests.filter((one) => one.name === name)
      if (found.length === 0) wrong.push(`known red, but there is no such test: ${name}`)
      else if (kind === 'unsteady')
        passedOver.push(`known red, unsteady, ${found.some((one) => !one.passed) ? 'failed' : 'passed'} here: ${name} | ${seen} | ${issue}`)
      else if (found.some((one) => one.passed)) wrong.push(`known red, but it passes: ${name}`)
      else passedOver.push(`known red: ${name} | ${seen} | ${issue}`)
    }
    for (const { kind, command, seed, seen, issue } of listed)
      if (kind === 'command') passedOver.push(`known red, not run here: ${command} | ${seed} | ${seen} | ${issue}`)
    return { passedOver, wrong }
  },
}
