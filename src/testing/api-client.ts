import { getToken } from '../standin/engine-tokens.js'
import { fleetDeployment, fleetModel, fleetSecrets, fleetService } from './process-fleet-config.js'

const headers = { authorization: `Bearer ${fleetSecrets.vrany.caller}`, 'content-type': 'application/json' }

interface StreamChunk {
  readonly token_index?: number
  readonly choices?: ReadonlyArray<{ readonly text?: string }>
  readonly error?: { readonly message: string }
}

export interface StreamResult {
  readonly statusCode: number
  readonly tokenIndexes: readonly number[]
  readonly text: string
  /** True when the stream ended as it should. */
  readonly isDone: boolean
  /** What went wrong, as the caller saw it. */
  readonly errorMessage?: string
}

/** A stream that a caller reads. */
export interface ClientStream {
  /** Number of tokens that have arrived. */
  tokenCount (): number
  readonly finished: Promise<StreamResult>
}

/** Starts to stream a completion through an entry node. */
export function openClientStream (entryUrl: string, prompt: string, maxTokenCount: number): ClientStream {
  const tokenIndexes: number[] = []
  let text = ''
  let isDone = false
  let errorMessage: string | undefined

  function takeEvent (event: string): void {
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
      const answer = await fetch(`${entryUrl}/v1/completions`, {
        method: 'POST',
        headers,
        body: JSON.stringify({ model: fleetDeployment, prompt, max_tokens: maxTokenCount, stream: true })
      })
      statusCode = answer.status
      if (!answer.ok || answer.body === null) return { statusCode, tokenIndexes, text, isDone, errorMessage: await answer.text() }
      let rest = ''
      for await (const part of answer.body.pipeThrough(new TextDecoderStream())) {
        const events = (rest + part).split('\n\n')
        rest = events.pop() ?? ''
        events.forEach(takeEvent)
      }
    } catch (error) {
      errorMessage ??= (error as Error).message
    }
    return { statusCode, tokenIndexes, text, isDone, ...(errorMessage === undefined ? {} : { errorMessage }) }
  }

  return { tokenCount: () => tokenIndexes.length, finished: read() }
}

/** Returns the text that a whole answer must have. */
export function getExpectedText (prompt: string, tokenCount: number): string {
  return Array.from({ length: tokenCount }, (_, index) => getToken(fleetModel, prompt, index)).join('')
}

export interface OrderResponseBody {
  /** 0 when the connection failed. */
  readonly statusCode: number
  readonly isReplayed: boolean
  /** `work_state` of an error answer. */
  readonly workState?: string
  readonly text: string
}

/** Sends an order through an entry node. */
export async function sendOrder (entryUrl: string, key: string): Promise<OrderResponseBody> {
  try {
    const answer = await fetch(`${entryUrl}/services/${fleetService}/orders`, {
      method: 'POST',
      headers: { ...headers, 'idempotency-key': key },
      body: JSON.stringify({ stone: 'sandstone', blockCount: 2 })
    })
    const text = await answer.text()
    const body = JSON.parse(text) as { error?: { work_state?: string } }
    return {
      statusCode: answer.status,
      isReplayed: answer.headers.get('idempotency-replayed') === 'true',
      text,
      ...(body.error?.work_state === undefined ? {} : { workState: body.error.work_state })
    }
  } catch (error) {
    return { statusCode: 0, isReplayed: false, text: (error as Error).message }
  }
}

/** Calls an entry node with the caller's credential. */
export function callEntry (entryUrl: string, path: string, init: RequestInit = {}): Promise<Response> {
  return fetch(`${entryUrl}${path}`, { ...init, headers })
}
