import { readdirSync } from 'node:fs'

const rewritePaths = Object.fromEntries([
  ...readdirSync(new URL('packages/', import.meta.url)).map((name) => [`packages/${name}/src/`, `packages/${name}/dist/`]),
  ['platform/src/', 'platform/dist/']
])

export default {
  files: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
  typescript: { rewritePaths, compile: false },
  environmentVariables: { TZ: 'UTC' },
  timeout: '5m'
}
