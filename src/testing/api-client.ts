import { getToken } from '../standin/engine-tokens.js'
import { fleetDeployment, fleetModel, fleetSecrets, fleetService } from './process-fleet-config.js'

const headers = { authorization: `Bearer ${fleetSecrets.vrany.client}`, 'content-type': 'application/json' }

interface StreamChunk {
  readonly token_index?: number
  readonly choices?: ReadonlyArray<{ readonly text?: string }>
  readonly error?: { readonly message: string }
}

/** What a client received of a stream. */
export interface StreamResult {
  /** 0 when no response arrived. */
  readonly statusCode: number
  readonly tokenIndexes: readonly number[]
  readonly text: string
  /** Whether the stream ended with `[DONE]`. */
  readonly isDone: boolean
  /** First error that the client received, or the error of its connection. */
  readonly errorMessage?: string
}

/** A stream that a client reads. */
export interface ClientStream {
  /** Number of tokens that have arrived. */
  tokenCount (): number
  readonly finished: Promise<StreamResult>
}

/** Starts a streamed completion through an entry node. */
export function openClientStream (entryUrl: string, prompt: string, maxTokenCount: number): ClientStream {
  const tokenIndexes: number[] = []
  let text = ''
  let isDone = false
  let errorMessage: string | undefined

  function handleEvent (event: string): void {
    const data = event.replace(/^data: /, '')
    if (data === '[DONE]') {
      isDone = true
      return
    }
    const chunk = JSON.parse(data) as StreamChunk
    if (chunk.token_index !== undefined) tokenIndexes.push(chunk.token_index)
    text += chunk.choices?.[0]?.text ?? ''
    errorMessage ??= chunk.error?.message
  }

  async function read (): Promise<StreamResult> {
    let statusCode = 0
    try {
      const response = await fetch(`${entryUrl}/v1/completions`, {
        method: 'POST',
        headers,
        body: JSON.stringify({ model: fleetDeployment, prompt, max_tokens: maxTokenCount, stream: true })
      })
      statusCode = response.status
      if (!response.ok || response.body === null) return { statusCode, tokenIndexes, text, isDone, errorMessage: await response.text() }
      let rest = ''
      for await (const part of response.body.pipeThrough(new TextDecoderStream())) {
        const events = (rest + part).split('\n\n')
        rest = events.pop() ?? ''
        events.forEach(handleEvent)
      }
    } catch (error) {
      errorMessage ??= (error as Error).message
    }
    return { statusCode, tokenIndexes, text, isDone, ...(errorMessage === undefined ? {} : { errorMessage }) }
  }

  return { tokenCount: () => tokenIndexes.length, finished: read() }
}

/** Returns the text of the complete response. */
export function getExpectedText (prompt: string, tokenCount: number): string {
  return Array.from({ length: tokenCount }, (_, index) => getToken(fleetModel, prompt, index)).join('')
}

/** An entry node's response to an order. */
export interface ClientOrderResponse {
  /** 0 when the connection failed. */
  readonly statusCode: number
  readonly isReplayed: boolean
  /** `work_state` of an error response. */
  readonly workState?: string
  readonly text: string
}

/** Sends an order through an entry node. */
export async function sendOrder (entryUrl: string, key: string): Promise<ClientOrderResponse> {
  try {
    const response = await fetch(`${entryUrl}/services/${fleetService}/orders`, {
      method: 'POST',
      headers: { ...headers, 'idempotency-key': key },
      body: JSON.stringify({ stone: 'sandstone', blockCount: 2 })
    })
    const text = await response.text()
    const body = JSON.parse(text) as { error?: { work_state?: string } }
    return {
      statusCode: response.status,
      isReplayed: response.headers.get('idempotency-replayed') === 'true',
      text,
      ...(body.error?.work_state === undefined ? {} : { workState: body.error.work_state })
    }
  } catch (error) {
    return { statusCode: 0, isReplayed: false, text: (error as Error).message }
  }
}

/** Calls an entry node with a client's credential. */
export function callEntry (entryUrl: string, path: string, init: RequestInit = {}): Promise<Response> {
  return fetch(`${entryUrl}${path}`, { ...init, headers })
}
