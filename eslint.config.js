import tseslint from 'typescript-eslint'

// Dependencies point one way: a folder may import only from those named beside it.
const lower = {
  common: [],
  transport: ['common'],
  storage: ['common'],
  consensus: ['common', 'transport', 'storage'],
  placement: ['common', 'consensus'],
  adapters: ['common'],
  control: ['common', 'transport', 'storage', 'consensus', 'placement', 'adapters'],
  proxy: ['common', 'transport', 'consensus', 'adapters'],
  agent: ['common', 'transport', 'consensus', 'adapters'],
  gateway: ['common', 'transport', 'consensus', 'adapters', 'agent'],
  cli: ['common', 'adapters'],
  simulator: ['common', 'transport', 'storage', 'consensus', 'placement', 'adapters', 'control', 'proxy', 'agent', 'gateway'],
}

// One exported name a file; a type and a value may share that name.
const oneExport = {
  create(context) {
    const names = new Set()
    return {
      ExportNamedDeclaration(node) {
        if (node.declaration?.id) names.add(node.declaration.id.name)
        for (const one of node.declaration?.declarations ?? []) names.add(one.id.name)
        for (const one of node.specifiers) names.add(one.exported.name)
        if (names.size > 1) context.report({ node, message: `one export a file: ${[...names].join(', ')}` })
      },
      ExportDefaultDeclaration(node) {
        context.report({ node, message: 'exports are named' })
      },
    }
  },
}

// Tests and what only they use; no other file may lean on these.
const platformTests = ['platform/**/*.test.ts', 'platform/**/*TestWorld.ts']
const testFiles = ['src/**/*.test.ts', 'src/**/*Contract.ts', 'src/**/*TestWorld.ts', 'src/**/sampleDefaults.ts']
const testCode = [
  { group: ['*.test.js', '*Contract.js', '*TestWorld.js', 'sampleDefaults.js'], message: 'only tests may lean on test code' },
  { regex: '^(node:)?(assert|test)(/|$)', message: 'only tests may assert' },
]
// The product knows nothing of the users' platform; the platform's files may lean on the product.
const noPlatform = { regex: '(^|/)platform/', message: 'src may not lean on platform' }
const restrict = (patterns) => ({ 'no-restricted-imports': ['error', { patterns }] })

const folders = Object.keys(lower)
export default tseslint.config(
  { ignores: ['dist/**', 'tools/**', 'eslint.config.js'] },
  ...tseslint.configs.recommendedTypeChecked,
  { files: ['src/**/*.ts'], languageOptions: { parserOptions: { project: './tsconfig.json' } } },
  { files: ['platform/**/*.ts'], languageOptions: { parserOptions: { project: './tsconfig.platform.json' } } },
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    plugins: { house: { rules: { 'one-export': oneExport } } },
    rules: {
      'house/one-export': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-assertions': ['error', { assertionStyle: 'never' }],
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/no-redeclare': 'off',
      '@typescript-eslint/switch-exhaustiveness-check': ['error', { considerDefaultExhaustiveForUnions: true }],
      '@typescript-eslint/no-floating-promises': [
        'error',
        { allowForKnownSafeCalls: [{ from: 'package', name: 'test', package: 'node:test' }] },
      ],
    },
  },
  ...folders.flatMap((folder) => {
    const above = folders
      .filter((other) => other !== folder && !lower[folder].includes(other))
      .map((other) => ({ group: [`../${other}/*`], message: `${folder} may not lean on ${other}` }))
    return [
      { files: [`src/${folder}/**/*.ts`], ignores: testFiles, rules: restrict([...above, noPlatform, ...testCode]) },
      { files: testFiles.map((name) => name.replace('src/**', `src/${folder}/**`)), rules: restrict([...above, noPlatform]) },
    ]
  }),
  { files: ['platform/**/*.ts'], ignores: platformTests, rules: restrict(testCode) },
)
