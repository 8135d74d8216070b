import { createHash } from 'node:crypto'
import { z } from 'zod'

/** A parsed request to `/v1/chat/completions` or `/v1/completions`. */
export interface CompletionRequest {
  readonly kind: 'chat' | 'text'
  readonly model: string
  readonly prompt: string
  readonly maximumTokens: number
  readonly isStreamed: boolean
}

const DEFAULT_MAXIMUM_TOKENS = 16
const MAXIMUM_TOKENS_LIMIT = 100_000
const PREFIX_CHARACTERS = 256
const DIGEST_CHARACTERS = 8

const commonRequestFields = {
  model: z.string().min(1),
  max_tokens: z.number().int().positive().max(MAXIMUM_TOKENS_LIMIT).default(DEFAULT_MAXIMUM_TOKENS),
  stream: z.boolean().default(false)
}

export const chatRequestSchema = z.looseObject({
  ...commonRequestFields,
  messages: z.array(z.looseObject({ role: z.string(), content: z.string() })).min(1)
}).transform(({ model, messages, max_tokens: maximumTokens, stream }): CompletionRequest => ({
  kind: 'chat',
  model,
  prompt: chatPrompt(messages),
  maximumTokens,
  isStreamed: stream
}))

export const textRequestSchema = z.looseObject({
  ...commonRequestFields,
  prompt: z.string()
}).transform(({ model, prompt, max_tokens: maximumTokens, stream }): CompletionRequest => ({
  kind: 'text',
  model,
  prompt,
  maximumTokens,
  isStreamed: stream
}))

/**
 * Returns the prompt text of a chat: the contents of its messages, joined by line feeds.
 *
 * @example
 * chatPrompt([{ content: 'Be brief.' }, { content: 'Renew my deposit.' }])
 */
export function chatPrompt (messages: readonly { readonly content: string }[]): string {
  return messages.map(({ content }) => content).join('\n')
}

/**
 * Returns the key under which an engine caches the prefix of a prompt.
 *
 * @example
 * promptPrefix('Dear depositor')
 */
export function promptPrefix (prompt: string): string {
  return createHash('sha256').update(prompt.slice(0, PREFIX_CHARACTERS)).digest('hex')
}

/**
 * Returns the tokens that the engine stand-in generates for a request. Each token contains a digest
 * of the request and its own position, so that lost and duplicate tokens and tokens of another
 * request are detected.
 *
 * @example
 * expectedTokens({ model: 'renewal-letter', prompt: 'Dear depositor', maximumTokens: 2 }).join('')
 */
export function expectedTokens (request: Pick<CompletionRequest, 'model' | 'prompt' | 'maximumTokens'>): readonly string[] {
  const digest = createHash('sha256').update(JSON.stringify([request.model, request.prompt])).digest('hex').slice(0, DIGEST_CHARACTERS)
  return Array.from({ length: request.maximumTokens }, (_, index) => `${digest}.${index + 1} `)
}

/** Fields of a response body that identify its generation. */
export interface CompletionIdentity {
  readonly streamId: string
  readonly kind: CompletionRequest['kind']
  readonly model: string
  readonly promptCharacters: number
}

/**
 * Formats one token as a server-sent event.
 *
 * @example
 * formatTokenEvent(identity, 1, 'Dear ', false)
 */
export function formatTokenEvent (identity: CompletionIdentity, eventId: number, token: string, isLast: boolean): string {
  const finishReason = isLast ? 'length' : null
  const choice = identity.kind === 'chat'
    ? { index: 0, delta: { content: token }, finish_reason: finishReason }
    : { index: 0, text: token, finish_reason: finishReason }
  const object = identity.kind === 'chat' ? 'chat.completion.chunk' : 'text_completion'
  return `id: ${eventId}\ndata: ${JSON.stringify({ id: identity.streamId, object, model: identity.model, choices: [choice] })}\n\n`
}

/**
 * Formats the event that marks the end of a stream.
 *
 * @example
 * formatEndEvent(17)
 */
export function formatEndEvent (eventId: number): string {
  return `id: ${eventId}\ndata: [DONE]\n\n`
}

/**
 * Creates the body of a response that is not streamed.
 *
 * @example
 * createCompletionBody(identity, ['Dear ', 'depositor '])
 */
export function createCompletionBody (identity: CompletionIdentity, tokens: readonly string[]): unknown {
  const text = tokens.join('')
  const choice = identity.kind === 'chat'
    ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'length' }
    : { index: 0, text, finish_reason: 'length' }
  return {
    id: identity.streamId,
    object: identity.kind === 'chat' ? 'chat.completion' : 'text_completion',
    model: identity.model,
    choices: [choice],
    usage: { prompt_characters: identity.promptCharacters, completion_tokens: tokens.length }
  }
}
