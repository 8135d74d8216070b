/** Blocks of equal size that are used again, so that bodies that are given up leave no garbage. */
export interface BlockPool {
  readonly acquire: () => Buffer
  readonly release: (block: Buffer) => void
}

/** A complete body. */
export interface TakenBody {
  readonly bytes: Buffer
  /** Gives the memory back at once, without waiting for garbage collection. `bytes` is empty from then on, and a write of it that is in progress fails. */
  readonly free: () => void
}

/** A body while it arrives. */
export interface BodyBuffer {
  readonly append: (bytes: Buffer) => void
  /** Returns the body in one piece; the buffer is empty afterwards. */
  readonly take: () => TakenBody
  /** Gives the memory back. */
  readonly discard: () => void
}

export const BLOCK_BYTES = 65_536
const FIRST_BYTES = 4_096

/**
 * Creates a pool of blocks of 64 KB. It keeps the blocks that were released; their number is bounded by those in use at the same time.
 *
 * @example
 * const pool = createBlockPool()
 */
export function createBlockPool (): BlockPool {
  const free: Buffer[] = []
  return {
    acquire: () => free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES),
    release: (block) => { free.push(block) }
  }
}

/**
 * Creates a buffer for a body that copies what it is given, so that neither the size of the pieces nor
 * the memory that they are part of matters.
 *
 * @example
 * const buffer = createBodyBuffer(pool)
 * buffer.append(chunk)
 * const { bytes, free } = buffer.take()
 */
export function createBodyBuffer (pool: BlockPool): BodyBuffer {
  /** A body of up to one block. */
  let small: Buffer | undefined
  let blocks: Buffer[] = []
  let length = 0

  const appendSmall = (bytes: Buffer): void => {
    const needed = length + bytes.length
    if (small === undefined) small = Buffer.allocUnsafeSlow(Math.max(bytes.length, Math.min(FIRST_BYTES, BLOCK_BYTES)))
    else if (small.length < needed) {
      const larger = Buffer.allocUnsafeSlow(Math.min(BLOCK_BYTES, Math.max(needed, 2 * small.length)))
      small.copy(larger, 0, 0, length)
      small = larger
    }
    bytes.copy(small, length)
    length = needed
  }

  const appendToBlocks = (bytes: Buffer): void => {
    for (let taken = 0; taken < bytes.length;) {
      const offset = length % BLOCK_BYTES
      if (offset === 0) blocks.push(pool.acquire())
      const copied = bytes.copy(blocks[blocks.length - 1] as Buffer, offset, taken)
      taken += copied
      length += copied
    }
  }

  const discard = (): void => {
    blocks.forEach(pool.release)
    blocks = []
    small = undefined
    length = 0
  }

  return {
    append: (bytes) => {
      if (blocks.length === 0 && length + bytes.length <= BLOCK_BYTES) return appendSmall(bytes)
      if (small !== undefined) {
        const begun = small.subarray(0, length)
        small = undefined
        length = 0
        appendToBlocks(begun)
      }
      appendToBlocks(bytes)
    },
    take: () => {
      const taken = blocks.length === 0 ? { bytes: small?.subarray(0, length) ?? Buffer.alloc(0), free: () => undefined } : joinBlocks(blocks, length)
      discard()
      return taken
    },
    discard
  }
}

/** The type of Node 20's resizable buffers, which the library that the project compiles against does not declare. */
interface ResizableArrayBuffer extends ArrayBuffer {
  readonly resize: (byteLength: number) => void
}
const ResizableMemory = ArrayBuffer as unknown as new (byteLength: number, options: { readonly maxByteLength: number }) => ResizableArrayBuffer

/** Copies blocks to one buffer. A resizable buffer gives its pages back when it shrinks; several buffers of some megabytes that wait for collection exceed the memory of a small machine. */
function joinBlocks (blocks: readonly Buffer[], length: number): TakenBody {
  const memory = new ResizableMemory(length, { maxByteLength: length })
  const bytes = Buffer.from(memory)
  blocks.forEach((block, index) => block.copy(bytes, index * BLOCK_BYTES, 0, Math.min(BLOCK_BYTES, length - index * BLOCK_BYTES)))
  return { bytes, free: () => memory.resize(0) }
}
