/**
 * Imported first by every program: a start on a Node.js that is too old ends here with exit code 2, before a library is
 * loaded that fails on it in a way that nobody understands.
 */
import { NodeVersion } from './NodeVersion.js'

const why = NodeVersion.unfit(process.versions.node)
if (why !== undefined) {
  process.stderr.write(`springpaddle: ${why}\n`)
  process.exit(2)
}
