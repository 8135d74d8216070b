/**
 * Stand-ins for the platform services and the targets, for tests and demos. They run inside another
 * process or as separate processes.
 */
export { LOOPBACK } from './http-server.js'
export type { CommonControl, ListenOptions, StandIn } from './http-server.js'
export { createLogStandIn } from './log-stand-in.js'
export type { LogControl, LogCounts, LogStandIn, LogStandInOptions } from './log-stand-in.js'
export { createEngineStandIn } from './engine-stand-in.js'
export { DEFAULT_ENGINE_TIMING } from './engine-options.js'
export type {
  EngineControl,
  EngineCounts,
  EngineStandIn,
  EngineStandInOptions,
  EngineTiming,
  OrderRecord,
  OrderResult,
  ReplicaInterval
} from './engine-options.js'
export { peakReplicasAcross } from './engine-counters.js'
export { chatPrompt, expectedTokens, promptPrefix } from './completion.js'
export type { CompletionRequest } from './completion.js'
export { createVmListStandIn } from './vm-list-stand-in.js'
export type { VmListControl, VmListCounts, VmListStandIn, VmListStandInOptions } from './vm-list-stand-in.js'
export { createWeightStoreStandIn } from './weight-store-stand-in.js'
export type { OverLimit, WeightStoreControl, WeightStoreCounts, WeightStoreStandIn, WeightStoreStandInOptions } from './weight-store-stand-in.js'
export { createServiceStandIn } from './service-stand-in.js'
export type { ServiceResponse, ServiceControl, ServiceCounts, ServiceStandIn, ServiceStandInOptions } from './service-stand-in.js'
export { parseAddress, startFaultProxy } from './fault-proxy.js'
export type { FaultProxy, FaultProxyCounts, FaultProxyMode, FaultProxyOptions } from './fault-proxy.js'
export { parseDeploymentDescription } from './deployment.js'
export type { DeploymentAddresses, DeploymentDescription, RoleDescription, VmDescription } from './deployment.js'
export { describeDeployment } from './describe-deployment.js'
export { startDeployment } from './start-deployment.js'
export type { RunningStandIns, StartDeploymentOptions } from './start-deployment.js'
export { startProcess } from './child-process.js'
export type { ProcessCommand, ProcessExit, RunningProcess, StartProcessOptions } from './child-process.js'
export { startProcesses } from './start-processes.js'
export type { RunningProcesses, StartProcessesOptions } from './start-processes.js'
