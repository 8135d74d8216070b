import { createManualClock, type Clock } from '@fuchsiastage/clock'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import { createLogger } from '@fuchsiastage/logger'
import type { VmRecord, VmState } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import { createMembershipController, createSeededRandom, DEFAULT_MEMBERSHIP_TIMING, type MemberStatus, type MembershipController, type MembershipTiming } from './index.js'

const DATA_CENTRES = ['van-a', 'van-b', 'vic-a', 'kam-a'] as const
const LATENCY_MILLISECONDS = 2

export function makeVm (name: string, index: number, role = 'entry', state: VmState = 'live'): VmRecord {
  const host = `10.${Math.floor(index / 250)}.${index % 250}.1`
  return {
    name,
    role,
    region: 'bc-coast',
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? 'van-a',
    address: `${host}:8080`,
    ...(role === 'entry' ? { peerAddress: `${host}:8090` } : {}),
    state
  }
}

export interface ClusterOptions {
  readonly size: number
  readonly seed?: number
  readonly timing?: MembershipTiming
  /** Probability that a message, which is a call or a response, is lost. */
  readonly lossProbability?: number
}

interface ClusterNode {
  readonly vm: VmRecord
  membership: MembershipController
  status: 'running' | 'paused' | 'killed'
  queuedTimers: Array<() => void>
  queuedMessages: Array<() => void>
  isDisconnectedFromList: boolean
}

/** Runs many membership controllers in one process on a manual clock, with a simulated transport into which a test can inject faults. */
export function createCluster (options: ClusterOptions) {
  const { size, seed = 1, timing = DEFAULT_MEMBERSHIP_TIMING, lossProbability = 0 } = options
  const clock = createManualClock()
  const random = createSeededRandom(seed)
  const nodes = new Map<string, ClusterNode>()
  const counts = { messages: 0, bytes: 0, largest: 0 }
  let vms: readonly VmRecord[] = Array.from({ length: size }, (unused, index) => makeVm(`entry-${index + 1}`, index))
  let isListDown = false
  let isMessageLost: (from: string, to: string, kind: 'call' | 'response') => boolean = () => false

  const createUnreachableError = (peer: string): FuchsiastageError =>
    createError({ code: 'peer-unreachable', message: 'the peer is unreachable', step: 'probe', peer, status: 503 })

  const runOrQueue = (node: ClusterNode, queue: Array<() => void>, callback: () => void): void => {
    if (node.status === 'running') callback()
    else if (node.status === 'paused') queue.push(callback)
  }

  /** Simulates one call and its response. If either message is lost, the call fails only when the timeout of its sender aborts it. */
  const call = <Value>(from: ClusterNode, to: string, signal: AbortSignal, body: unknown, handle: (node: ClusterNode) => Promise<Value> | Value): Promise<Result<Value, FuchsiastageError>> =>
    new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve(err(createUnreachableError(to))))
      const send = (kind: 'call' | 'response', sender: string, receiver: string, message: unknown, deliver: () => void): void => {
        counts.messages++
        const bytes = Buffer.byteLength(JSON.stringify(message))
        counts.bytes += bytes
        counts.largest = Math.max(counts.largest, bytes)
        if (isMessageLost(sender, receiver, kind) || random() < lossProbability) return
        clock.setTimer(LATENCY_MILLISECONDS, deliver)
      }
      send('call', from.vm.name, to, body, () => {
        const receiver = nodes.get(to)
        if (receiver === undefined) return
        runOrQueue(receiver, receiver.queuedMessages, () => {
          void (async () => {
            const value = await handle(receiver)
            send('response', to, from.vm.name, value, () => runOrQueue(from, from.queuedMessages, () => resolve(ok(value))))
          })()
        })
      })
    })

  const nodeClock = (node: ClusterNode): Clock => {
    const setTimer: Clock['setTimer'] = (delay, callback) => {
      let isCancelled = false
      const timer = clock.setTimer(delay, () => runOrQueue(node, node.queuedTimers, () => { if (!isCancelled) callback() }))
      return {
        cancel: () => {
          isCancelled = true
          timer.cancel()
        }
      }
    }
    const sleep: Clock['sleep'] = (delay, signal) => new Promise((resolve) => {
      const finish = (): void => {
        timer.cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimer(delay, finish)
      signal?.addEventListener('abort', finish)
    })
    return { ...clock, setTimer, sleep }
  }

  const createNode = (vm: VmRecord): ClusterNode => {
    const node: ClusterNode = { vm, status: 'running', queuedTimers: [], queuedMessages: [], isDisconnectedFromList: false, membership: undefined as unknown as MembershipController }
    const memberClock = nodeClock(node)
    node.membership = createMembershipController({
      self: vm,
      clock: memberClock,
      logger: createLogger({ clock, process: vm.name, level: 'error', sink: () => {} }),
      random: createSeededRandom(Math.floor(random() * 2 ** 32)),
      transport: {
        probe: (member, message, signal) => call(node, member.name, signal, message, (receiver) => receiver.membership.handleProbe(message)),
        probeIndirect: (via, member, signal) => call(node, via.name, signal, member, (receiver) => receiver.membership.handleProbeIndirect(member))
      },
      readListing: async () => isListDown || node.isDisconnectedFromList ? err(createUnreachableError('vm-list')) : ok({ vms }),
      timing
    })
    nodes.set(vm.name, node)
    return node
  }

  const findNode = (name: string): ClusterNode => {
    const existingNode = nodes.get(name)
    if (existingNode === undefined) throw new Error(`the cluster has no daemon named ${name}`)
    return existingNode
  }
  for (const vm of vms) createNode(vm)
  for (const { membership } of nodes.values()) membership.start()

  return {
    clock,
    counts,
    names: () => [...nodes.keys()],
    membership: (name: string) => findNode(name).membership,
    setVms: (value: readonly VmRecord[]) => { vms = value },
    vms: () => vms,
    setListDown: (value: boolean) => { isListDown = value },
    disconnectFromList: (name: string, value = true) => { findNode(name).isDisconnectedFromList = value },
    /** Sets the rule that decides for each message whether it is lost. */
    setLossRule: (value: (from: string, to: string, kind: 'call' | 'response') => boolean) => { isMessageLost = value },
    kill: (name: string) => { findNode(name).status = 'killed' },
    pause: (name: string) => { findNode(name).status = 'paused' },
    resume: (name: string) => {
      const pausedNode = findNode(name)
      pausedNode.status = 'running'
      // As in the Node.js event loop, due timers run before messages are read from sockets.
      const callbacks = [...pausedNode.queuedTimers, ...pausedNode.queuedMessages]
      pausedNode.queuedTimers.length = 0
      pausedNode.queuedMessages.length = 0
      for (const callback of callbacks) callback()
    },
    restart: (name: string) => {
      findNode(name).status = 'killed'
      createNode(findNode(name).vm).membership.start()
    },
    /** Statuses that all other running members have recorded for one member. */
    viewsOf: (name: string): readonly MemberStatus[] =>
      [...nodes.values()]
        .filter((other) => other.vm.name !== name && other.status === 'running')
        .map((other) => other.membership.members().find(({ vm }) => vm.name === name)?.status ?? 'failed'),
    close: async () => {
      for (const one of nodes.values()) one.status = 'running'
      await Promise.all([...nodes.values()].map(({ membership }) => membership.stop()))
    }
  }
}

export type Cluster = ReturnType<typeof createCluster>

/** Advances the clock until the condition holds; returns the elapsed time, or undefined when the limit is reached first. */
export async function advanceUntil (cluster: Cluster, condition: () => boolean, limitMilliseconds: number, stepMilliseconds = 50): Promise<number | undefined> {
  for (let elapsedMilliseconds = 0; elapsedMilliseconds <= limitMilliseconds; elapsedMilliseconds += stepMilliseconds) {
    if (condition()) return elapsedMilliseconds
    await cluster.clock.advance(stepMilliseconds)
  }
  return undefined
}
