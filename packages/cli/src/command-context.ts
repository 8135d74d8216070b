import { readFile } from 'node:fs/promises'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import { err, ok, type Result } from 'true-myth/result'

export const EXIT_OK = 0
/** The command ran and failed, for example because a patch was rejected or a daemon was unreachable. */
export const EXIT_FAILURE = 1
/** Invalid arguments or settings; nothing was started. */
export const EXIT_USAGE = 2

/** Output functions and exit code of a command. */
export interface CommandContext {
  readonly print: (text: string) => void
  readonly printError: (text: string) => void
  readonly setExitCode: (code: number) => void
}

/** Reads a text file. The error message contains the path. */
export async function readTextFile (path: string): Promise<Result<string, FuchsiastageError>> {
  try {
    return ok(await readFile(path, 'utf8'))
  } catch (reason) {
    return err(createError({ code: 'file-unreadable', message: `cannot read ${path}: ${reason instanceof Error ? reason.message : String(reason)}`, step: 'read-file', cause: reason }))
  }
}
