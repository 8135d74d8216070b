/**
 * Decides which model engine loads which model or adapter, and sends the orders to the engines.
 */
export { createPlacementController } from './placement-controller.js'
export type { PlacementController, PlacementControllerOptions, PlacementRequest, PlacementResult, PlacementSettings } from './placement-controller.js'
export type { EngineOrder, EnginePort, OrderAnswer } from './ports.js'
export { createSimulatedEngines } from './simulated-engines.js'
export type { EngineFaults, SimulatedEngines } from './simulated-engines.js'
