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
  /** Probability that a message or an answer is lost. */
  readonly loss?: number
}

interface Node {
  readonly vm: VmRecord
  membership: MembershipController
  status: 'running' | 'paused' | 'killed'
  heldTimers: Array<() => void>
  heldMessages: Array<() => void>
  isCutFromList: boolean
}

/** Many controllers in one process over the manual clock and a transport whose faults a test can set. */
export function createCluster (options: ClusterOptions) {
  const { size, seed = 1, timing = DEFAULT_MEMBERSHIP_TIMING, loss = 0 } = options
  const clock = createManualClock()
  const random = createSeededRandom(seed)
  const nodes = new Map<string, Node>()
  const counts = { messages: 0, bytes: 0, largest: 0 }
  let vms: readonly VmRecord[] = Array.from({ length: size }, (unused, index) => makeVm(`entry-${index + 1}`, index))
  let isListDown = false
  let isCut: (from: string, to: string, kind: 'call' | 'answer') => boolean = () => false

  const unreachable = (peer: string): FuchsiastageError =>
    createError({ code: 'peer-unreachable', message: 'the peer did not answer', step: 'probe', peer, status: 503 })

  const run = (node: Node, held: Array<() => void>, callback: () => void): void => {
    if (node.status === 'running') callback()
    else if (node.status === 'paused') held.push(callback)
  }

  /** One call and its answer; a lost message shows only through the caller's timeout. */
  const call = <Value>(from: Node, to: string, signal: AbortSignal, body: unknown, work: (node: Node) => Promise<Value> | Value): Promise<Result<Value, FuchsiastageError>> =>
    new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve(err(unreachable(to))))
      const send = (kind: 'call' | 'answer', sender: string, receiver: string, message: unknown, deliver: () => void): void => {
        counts.messages++
        const bytes = Buffer.byteLength(JSON.stringify(message))
        counts.bytes += bytes
        counts.largest = Math.max(counts.largest, bytes)
        if (isCut(sender, receiver, kind) || random() < loss) return
        clock.setTimer(LATENCY_MILLISECONDS, deliver)
      }
      send('call', from.vm.name, to, body, () => {
        const receiver = nodes.get(to)
        if (receiver === undefined) return
        run(receiver, receiver.heldMessages, () => {
          void (async () => {
            const value = await work(receiver)
            send('answer', to, from.vm.name, value, () => run(from, from.heldMessages, () => resolve(ok(value))))
          })()
        })
      })
    })

  const nodeClock = (node: Node): Clock => {
    const setTimer: Clock['setTimer'] = (delay, callback) => {
      let isCancelled = false
      const timer = clock.setTimer(delay, () => run(node, node.heldTimers, () => { if (!isCancelled) callback() }))
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

  const create = (vm: VmRecord): Node => {
    const node: Node = { vm, status: 'running', heldTimers: [], heldMessages: [], isCutFromList: false, membership: undefined as unknown as MembershipController }
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
      readListing: async () => isListDown || node.isCutFromList ? err(unreachable('vm-list')) : ok({ vms }),
      timing
    })
    nodes.set(vm.name, node)
    return node
  }

  const node = (name: string): Node => {
    const found = nodes.get(name)
    if (found === undefined) throw new Error(`no daemon ${name}`)
    return found
  }
  for (const vm of vms) create(vm)
  for (const { membership } of nodes.values()) membership.start()

  return {
    clock,
    counts,
    names: () => [...nodes.keys()],
    membership: (name: string) => node(name).membership,
    setVms: (value: readonly VmRecord[]) => { vms = value },
    vms: () => vms,
    setListDown: (value: boolean) => { isListDown = value },
    cutFromList: (name: string, value = true) => { node(name).isCutFromList = value },
    /** Decides for each message whether it is lost. */
    setCut: (value: (from: string, to: string, kind: 'call' | 'answer') => boolean) => { isCut = value },
    kill: (name: string) => { node(name).status = 'killed' },
    pause: (name: string) => { node(name).status = 'paused' },
    resume: (name: string) => {
      const paused = node(name)
      paused.status = 'running'
      // The event loop runs due timers before it reads from sockets.
      const due = [...paused.heldTimers, ...paused.heldMessages]
      paused.heldTimers.length = 0
      paused.heldMessages.length = 0
      for (const callback of due) callback()
    },
    restart: (name: string) => {
      node(name).status = 'killed'
      create(node(name).vm).membership.start()
    },
    /** Statuses of one member in the view of all others that run. */
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

/** Advances until the condition holds and returns the time that took, or undefined at the limit. */
export async function advanceUntil (cluster: Cluster, condition: () => boolean, limit: number, step = 50): Promise<number | undefined> {
  for (let waited = 0; waited <= limit; waited += step) {
    if (condition()) return waited
    await cluster.clock.advance(step)
  }
  return undefined
}
