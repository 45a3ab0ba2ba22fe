// Bundles the platform's entry into target/, a file a role and the parts that they share, so that a start reads and
// compiles only what it uses: the client library without fetch and sockets, the checks without other tongues.
import { readFile, rm } from 'node:fs/promises'

const { engines } = JSON.parse(await readFile('package.json', 'utf8'))
const isOlder = (version, oldest) => {
  const [found, needed] = [version, oldest].map((one) => one.split('.').map((part) => Number.parseInt(part, 10)))
  const at = needed.findIndex((part, index) => part !== found[index])
  return at >= 0 && found[at] < needed[at]
}
if (isOlder(process.versions.node, engines.node.replace('>=', ''))) {
  console.error(`bundle: Node.js ${engines.node} is needed, this is ${process.versions.node}`)
  process.exit(2)
}
const { build } = await import('esbuild')

const lean = {
  name: 'lean',
  setup(bundle) {
    bundle.onResolve({ filter: /locales\/index\.js$/ }, () => ({ path: 'locales', namespace: 'lean' }))
    bundle.onLoad({ filter: /.*/, namespace: 'lean' }, () => ({ contents: 'export {}', loader: 'js' }))
  },
}

await rm('target', { recursive: true, force: true })
await build({
  entryPoints: { springpaddle: 'platform/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  splitting: true,
  chunkNames: 'part-[hash]',
  alias: { undici: './tools/undici.mjs' },
  plugins: [lean],
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minify: true,
  keepNames: false,
  legalComments: 'none',
  banner: { js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);" },
  logLevel: 'error',
})
