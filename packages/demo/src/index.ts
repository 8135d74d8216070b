/**
 * Starts an example deployment as separate processes and demonstrates its behaviour.
 */
export { runDemo } from './run-demo.js'
