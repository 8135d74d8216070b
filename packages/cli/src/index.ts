/**
 * The fuchsiastage command line.
 */
export { runCommandLine } from './run-command-line.js'
