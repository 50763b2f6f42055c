import type { ServerResponse } from 'node:http'

import { CompletionKind, type CompletionRequest } from './completion-request.js'
import { getToken } from './engine-tokens.js'
import { sendJson } from './json-server.js'

/** Writes the tokens of one completion to its HTTP response. */
export interface CompletionWriter {
  /** Writes one token; returns true after the last one. */
  writeNext (): boolean
  /** True while the client reads too slowly to accept another token. */
  isBlocked (): boolean
}

/** Creates the writer for a streamed or a single JSON response. */
export function createCompletionWriter (request: CompletionRequest, response: ServerResponse, completionId: string): CompletionWriter {
  const writeToken = request.isStream
    ? createStreamWriter(request, response, completionId)
    : createSingleResponseWriter(request, response, completionId)
  let tokenIndex = request.firstTokenIndex
  return {
    writeNext () {
      const isLast = tokenIndex + 1 >= request.tokenCount
      const text = tokenIndex < request.tokenCount ? getToken(request.model, request.prompt, tokenIndex) : ''
      writeToken(text, tokenIndex, isLast)
      tokenIndex += 1
      return isLast
    },
    isBlocked: () => response.writableNeedDrain
  }
}

type TokenWriter = (text: string, tokenIndex: number, isLast: boolean) => void

function createStreamWriter (request: CompletionRequest, response: ServerResponse, completionId: string): TokenWriter {
  const send = (chunk: object) => response.write(`data: ${JSON.stringify(chunk)}\n\n`)
  const base = {
    id: completionId,
    object: request.kind === CompletionKind.Chat ? 'chat.completion.chunk' : request.kind,
    created: 0,
    model: request.model
  }
  return (text, tokenIndex, isLast) => {
    if (!response.headersSent) {
      response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    }
    const finishReason = isLast ? 'length' : null
    send({ ...base, choices: [toStreamChoice(request.kind, text, finishReason)], token_index: tokenIndex })
    if (!isLast) return
    if (request.includesUsage) send({ ...base, choices: [], usage: toUsage(request) })
    response.end('data: [DONE]\n\n')
  }
}

function createSingleResponseWriter (request: CompletionRequest, response: ServerResponse, completionId: string): TokenWriter {
  let completion = ''
  return (text, _tokenIndex, isLast) => {
    completion += text
    if (!isLast) return
    const body = {
      id: completionId,
      object: request.kind,
      created: 0,
      model: request.model,
      choices: [toCompleteChoice(request.kind, completion)],
      usage: toUsage(request),
      token_index: request.firstTokenIndex
    }
    sendJson(response, { statusCode: 200, body })
  }
}

function toStreamChoice (kind: CompletionKind, text: string, finishReason: string | null): object {
  if (kind === CompletionKind.Chat) return { index: 0, delta: { role: 'assistant', content: text }, finish_reason: finishReason }
  return { index: 0, text, logprobs: null, finish_reason: finishReason }
}

function toCompleteChoice (kind: CompletionKind, text: string): object {
  if (kind === CompletionKind.Chat) {
    return { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'length' }
  }
  return { index: 0, text, logprobs: null, finish_reason: 'length' }
}

function toUsage (request: CompletionRequest): object {
  const promptTokenCount = Math.ceil(request.prompt.length / 4)
  return {
    prompt_tokens: promptTokenCount,
    completion_tokens: request.tokenCount,
    total_tokens: promptTokenCount + request.tokenCount
  }
}
