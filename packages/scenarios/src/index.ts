/**
 * Simulation tests that run several daemons in one process: the scenario language, fakes at the
 * daemon's ports, checks of the guarantees, and the soak test.
 */
export { readScenario, runScenario } from './run-scenario.js'
export type { ScenarioResult } from './run-scenario.js'
export { scenarioSchema } from './scenario-schema.js'
export type { Scenario, Step } from './scenario-schema.js'
export { runSoak, runSoakCommand } from './soak.js'
export type { SoakCommandOptions, SoakFailure, SoakOptions, SoakResult } from './soak.js'
