// The known-red list: tests that may fail for a written cause, one line each, `test name | cause | issue`.
export const knownRed = {
  /** A name may hold bars itself: the cause and the issue are the last two parts. Throws on a line that lacks a part. */
  read(text) {
    return text
      .split('\n')
      .filter((line) => line.trim() !== '')
      .map((line) => {
        const parts = line.split('|').map((part) => part.trim())
        const [cause, issue] = parts.slice(-2)
        const name = line.split('|').slice(0, -2).join('|').trim()
        if (parts.length < 3 || name === '' || cause === '' || issue === '')
          throw new Error(`KNOWN-RED.txt: not "test name | cause | issue": ${line}`)
        return { name, cause, issue }
      })
  },

  /** What was passed over and what is wrong, from the list and from what ran: a name, whether it passed, and whether it stands for a file. */
  judge(listed, ran) {
    const tests = ran.filter((one) => !one.isFile)
    const passedOver = []
    const wrong = []
    if (tests.length === 0) wrong.push('no test ran')
    for (const one of ran) {
      if (one.isFile) wrong.push(one.passed ? `registers no test: ${one.name}` : `failed as a file: ${one.name}`)
      else if (!one.passed && !listed.some(({ name }) => name === one.name)) wrong.push(`failed: ${one.name}`)
    }
    for (const { name, cause, issue } of listed) {
      const found = tests.filter((one) => one.name === name)
      if (found.length === 0) wrong.push(`known red, but there is no such test: ${name}`)
      else if (found.some((one) => one.passed)) wrong.push(`known red, but it passes: ${name}`)
      else passedOver.push(`known red: ${name} | ${cause} | ${issue}`)
    }
    return { passedOver, wrong }
  },
}
