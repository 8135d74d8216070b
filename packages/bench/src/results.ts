import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { REPOSITORY_ROOT } from './example-deployment.js'

export interface StoredResult<Result> {
  readonly name: string
  /** Commit that the working tree was based on. Uncommitted changes are not recorded. */
  readonly commit: string
  readonly seeds: readonly number[]
  readonly result: Result
}

const RESULTS_FOLDER = new URL('bench/results/', REPOSITORY_ROOT)

/** Reads the commit of the working tree from the `.git` folder, without starting a process. */
export function currentCommit (): string {
  const read = (path: URL): string => readFileSync(path, 'utf8').trim()
  try {
    let gitFolder = new URL('.git/', REPOSITORY_ROOT)
    let commonGitFolder = gitFolder
    try {
      // In a linked worktree `.git` is a file that contains the path of the git folder.
      const [, folder] = /^gitdir: (.*)$/.exec(read(new URL('.git', REPOSITORY_ROOT))) ?? []
      if (folder !== undefined) {
        gitFolder = new URL(`file://${folder}/`)
        commonGitFolder = new URL(`${read(new URL('commondir', gitFolder))}/`, gitFolder)
      }
    } catch { /* `.git` is a folder. */ }
    const head = read(new URL('HEAD', gitFolder))
    const reference = /^ref: (.*)$/.exec(head)?.[1]
    return reference === undefined ? head : read(new URL(reference, commonGitFolder))
  } catch {
    return 'unknown'
  }
}

/**
 * Writes a result to `bench/results/<name>.json`.
 *
 * @example
 * const path = writeResult('cold-start', [1, 2], result)
 */
export function writeResult (name: string, seeds: readonly number[], result: unknown): string {
  mkdirSync(RESULTS_FOLDER, { recursive: true })
  const path = new URL(`${name}.json`, RESULTS_FOLDER)
  writeFileSync(path, JSON.stringify({ name, commit: currentCommit(), seeds, result }, null, 2) + '\n')
  return path.pathname
}

/** Reads a stored result; undefined when its file is missing or unreadable. */
export function readResult<Result> (name: string): StoredResult<Result> | undefined {
  try {
    return JSON.parse(readFileSync(new URL(`${name}.json`, RESULTS_FOLDER), 'utf8')) as StoredResult<Result>
  } catch {
    return undefined
  }
}
