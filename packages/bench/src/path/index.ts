export { addPathCommand } from './add-path-command.js'
export { runPathBench } from './run-path-bench.js'
export type { PathBenchOptions, Distribution } from './run-path-bench.js'
