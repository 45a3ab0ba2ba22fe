// Bundles the platform's entry into target/, a file a role and the parts that they share, so that a start reads and
// compiles only what it uses: the client library without fetch and sockets, the checks without other tongues.
import { rm } from 'node:fs/promises'
import { build } from 'esbuild'

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
