/**
 * Starts an example deployment as separate processes and shows what it does.
 */
export { runDemo } from './run-demo.js'
