/** Limits of the machine that a process runs on. */
export interface MachineLimits {
  readonly memoryMegabytes: number
  readonly fileDescriptors: number
}

/** How much clients may take up, derived from the limits of the machine. */
export interface ClientCapacity {
  /** Request bodies that are being received or whose requests are in progress. */
  readonly bodyBytes: number
  /** Part of `bodyBytes` that large bodies may take up; the rest is reserved for small ones. */
  readonly largeBodyBytes: number
  /** Responses that are held until they are complete or read. */
  readonly responseBytes: number
  /** Copies of bodies that are made to hand requests over to peers. */
  readonly copyBytes: number
  /** Heads of requests that are not complete. */
  readonly headBytes: number
  readonly maximumUnfinishedBodies: number
  readonly maximumConnections: number
}

const MEGABYTE = 1_048_576
/** Memory that a daemon uses without clients: code, heap, state of the fleet. */
const OWN_MEGABYTES = 75
/** Rest on machines that have hardly more memory than a daemon uses without clients; it holds one body of the default limit. */
const MINIMUM_REST_MEGABYTES = 40
/** The parts of the rest. What is left over is for garbage that is not collected yet, buffers of the kernel, and the copy of a body that becomes complete. */
const BODY_SHARE = 0.2
const RESPONSE_SHARE = 0.05
const COPY_SHARE = 0.2
const HEAD_SHARE = 0.05
const CONNECTION_SHARE = 0.2
/** Memory of an open connection: its socket, parser and buffers. */
const CONNECTION_BYTES = 16_384
/** Part of the budget of bodies that large bodies do not get. */
const SMALL_BODY_SHARE = 0.25
/** Memory that an unfinished body may take up in the kernel at least. */
const UNFINISHED_BODY_BYTES = 65_536
/** Descriptors that the platform reserves for files. */
const FILE_DESCRIPTORS_OF_FILES = 200
/** Each request in progress has a connection of its client and one to a target; the rest is for peers and the log service. */
const DESCRIPTOR_SHARE = 0.4
const MINIMUM_CONNECTIONS = 16

/**
 * Derives how much clients may take up from the memory, in megabytes, and the number of file descriptors of the machine.
 *
 * @example
 * deriveClientCapacity({ memoryMegabytes: 160, fileDescriptors: 2200 }).maximumConnections // 800
 */
export function deriveClientCapacity ({ memoryMegabytes, fileDescriptors }: MachineLimits): ClientCapacity {
  const rest = Math.max(MINIMUM_REST_MEGABYTES, memoryMegabytes - OWN_MEGABYTES) * MEGABYTE
  const bodyBytes = Math.floor(rest * BODY_SHARE)
  const connectionsByDescriptors = (fileDescriptors - FILE_DESCRIPTORS_OF_FILES) * DESCRIPTOR_SHARE
  return {
    bodyBytes,
    largeBodyBytes: Math.floor(bodyBytes * (1 - SMALL_BODY_SHARE)),
    responseBytes: Math.floor(rest * RESPONSE_SHARE),
    copyBytes: Math.floor(rest * COPY_SHARE),
    headBytes: Math.floor(rest * HEAD_SHARE),
    maximumUnfinishedBodies: Math.floor(bodyBytes / UNFINISHED_BODY_BYTES),
    maximumConnections: Math.max(MINIMUM_CONNECTIONS, Math.floor(Math.min(connectionsByDescriptors, rest * CONNECTION_SHARE / CONNECTION_BYTES)))
  }
}
