import { connect } from 'node:net'

import { expect } from 'chai'
import OpenAI from 'openai'

import { clientSecret, postChat, startTestFleet, waitUntil, type TestFleet } from '../testing/test-fleet.js'

interface ErrorBody {
  readonly error: { readonly code: string, readonly message: string, readonly work_state: string }
}

const maxBodyBytes = 4096

describe('client API', () => {
  let fleet: TestFleet

  before(async () => {
    fleet = await startTestFleet({ settings: { callers: { port: 0, maxBodyBytes } } })
  })

  after(() => fleet.stop())

  function createClient (): OpenAI {
    return new OpenAI({ apiKey: clientSecret, baseURL: `${fleet.baseUrl}/v1`, maxRetries: 0 })
  }

  function postOrder (key: string | undefined, body: object, path = '/orders'): Promise<Response> {
    return fetch(`${fleet.baseUrl}/services/quarry-orders${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${clientSecret}`, ...(key === undefined ? {} : { 'idempotency-key': key }) },
      body: JSON.stringify(body)
    })
  }

  async function readError (response: Response): Promise<ErrorBody['error']> {
    return (await response.json() as ErrorBody).error
  }

  function countStarted (): number {
    return fleet.engines.reduce((sum, engine) => sum + engine.counts.startedCount, 0)
  }

  describe('the openai client', () => {
    const messages = [{ role: 'user' as const, content: 'north facade' }]

    it('gets the same text in a streamed and in a complete response', async () => {
      const client = createClient()
      const complete = await client.chat.completions.create({ model: 'drafting', messages, max_tokens: 8 })
      const stream = await client.chat.completions.create({ model: 'drafting', messages, max_tokens: 8, stream: true })
      let text = ''
      for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? ''
      expect(text).to.have.length.above(0)
      expect(complete.choices[0]?.message.content).to.equal(text)
      expect(complete.usage?.completion_tokens).to.equal(8)
    })

    it('gets the usage of a stream when it asks for it', async () => {
      const options = { model: 'drafting', messages, max_tokens: 4, stream: true as const, stream_options: { include_usage: true } }
      let tokenCount = 0
      for await (const chunk of await createClient().chat.completions.create(options)) tokenCount = chunk.usage?.completion_tokens ?? tokenCount
      expect(tokenCount).to.equal(4)
    })

    it('gets text completions and the list of models', async () => {
      const client = createClient()
      const completion = await client.completions.create({ model: 'drafting', prompt: 'lime mortar', max_tokens: 3 })
      expect(completion.choices[0]?.text).to.have.length.above(0)
      const models = await client.models.list()
      expect(models.data.map(model => model.id)).to.deep.equal(['drafting'])
    })

    it('gets a typed error for an unknown model and a wrong credential', async () => {
      const unknown = await createClient().chat.completions.create({ model: 'nothing', messages }).catch((error: unknown) => error)
      expect(unknown).to.be.instanceOf(OpenAI.NotFoundError)
      const clientWithWrongKey = new OpenAI({ apiKey: 'wrong', baseURL: `${fleet.baseUrl}/v1`, maxRetries: 0 })
      expect(await clientWithWrongKey.models.list().catch((error: unknown) => error)).to.be.instanceOf(OpenAI.AuthenticationError)
    })
  })

  describe('an invalid request', () => {
    const cases: Record<string, { body: string, status: number, message: string }> = {
      'malformed JSON': { body: '{"model":', status: 400, message: 'body is not JSON' },
      'a body that is not an object': { body: '[]', status: 400, message: 'body is not a JSON object' },
      'missing messages': { body: '{"model":"drafting"}', status: 400, message: 'field "messages"' },
      'several choices': { body: '{"model":"drafting","n":2,"messages":[{"role":"user"}]}', status: 400, message: 'n must be 1' },
      'a body over the limit': { body: JSON.stringify({ text: 'x'.repeat(maxBodyBytes) }), status: 413, message: 'callers.maxBodyBytes' },
      'a body far over the limit': { body: 'x'.repeat(2_000_000), status: 413, message: 'callers.maxBodyBytes' }
    }
    for (const [name, { body, status, message }] of Object.entries(cases)) {
      it(`is refused and not executed when it has ${name}`, async () => {
        const startedCount = countStarted()
        const response = await fetch(`${fleet.baseUrl}/v1/chat/completions`, { method: 'POST', headers: { authorization: `Bearer ${clientSecret}` }, body })
        expect(response.status).to.equal(status)
        const error = await readError(response)
        expect(error.message).to.contain(message)
        expect(error.work_state).to.equal('not_run')
        expect(countStarted()).to.equal(startedCount)
      })
    }

    it('is refused for headers over the limit', async () => {
      const responseText = await sendRaw(fleet.ports.clientPort, `GET /healthz HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(40_000)}\r\n\r\n`)
      expect(responseText).to.match(/^HTTP\/1\.1 431 /)
    })

    it('is refused for a malformed request line', async () => {
      expect(await sendRaw(fleet.ports.clientPort, 'nonsense\r\n\r\n')).to.match(/^HTTP\/1\.1 400 /)
    })

    it('is refused for an invalid timeout, an unknown path and an unknown service', async () => {
      expect((await postChat(fleet.baseUrl, {}, { 'x-request-timeout-ms': '-5' })).status).to.equal(400)
      const headers = { authorization: `Bearer ${clientSecret}` }
      expect((await fetch(`${fleet.baseUrl}/nothing`, { headers })).status).to.equal(404)
      expect((await fetch(`${fleet.baseUrl}/services/nothing/orders`, { headers })).status).to.equal(404)
    })
  })

  describe('orders', () => {
    it('run once for an idempotency key that is sent twice', async () => {
      const first = await postOrder('key-1', { blockCount: 2 })
      const second = await postOrder('key-1', { blockCount: 2 })
      expect([first.status, second.status]).to.deep.equal([200, 200])
      expect(second.headers.get('idempotency-replayed')).to.equal('true')
      expect(await second.text()).to.equal(await first.text())
      expect(fleet.service.getCounts().runs['key-1']).to.equal(1)
    })

    it('need an idempotency key, and the same body under it', async () => {
      expect((await readError(await postOrder(undefined, {}))).code).to.equal('idempotency_key_missing')
      await postOrder('key-2', { blockCount: 2 })
      const reused = await postOrder('key-2', { blockCount: 3 })
      expect(reused.status).to.equal(422)
      expect((await readError(reused)).code).to.equal('idempotency_key_reused')
    })

    it('have a state that can be requested', async () => {
      await postOrder('key-3', {})
      const headers = { authorization: `Bearer ${clientSecret}` }
      const status = await fetch(`${fleet.baseUrl}/v1/orders/quarry-orders/key-3`, { headers })
      expect(await status.json()).to.have.property('state', 'done')
      expect((await fetch(`${fleet.baseUrl}/v1/orders/quarry-orders/none`, { headers })).status).to.equal(404)
    })

    it('are refused at once during a store outage, with a work state that covers only this attempt', async () => {
      fleet.keyValue.faults.isOut = true
      const refused = await postOrder('key-4', {})
      fleet.keyValue.faults.isOut = false
      expect(refused.status).to.equal(503)
      expect(Number(refused.headers.get('retry-after'))).to.be.above(0)
      expect((await readError(refused)).work_state).to.equal('attempt_not_run')
      expect(fleet.service.getCounts().runs).to.not.have.property('key-4')
    })

    it('need no idempotency key on a repeatable route', async () => {
      const response = await fetch(`${fleet.baseUrl}/services/quarry-orders/prices`, { headers: { authorization: `Bearer ${clientSecret}` } })
      expect(response.status).to.equal(200)
    })

    // Guards against a 503, which states that the request has not run.
    it('are reported as unknown on a repeatable route when each response was lost', async () => {
      fleet.service.faults.dropsReplyCount = 2
      const response = await fetch(`${fleet.baseUrl}/services/quarry-orders/prices`, { headers: { authorization: `Bearer ${clientSecret}` } })
      expect(response.status).to.equal(502)
      expect((await readError(response)).work_state).to.equal('unknown')
    })
  })

  describe('a client that disconnects', () => {
    it('has its request cancelled at the engine', async () => {
      const cancelledCount = () => fleet.engines.reduce((sum, engine) => sum + engine.counts.cancelledCount, 0)
      const before = cancelledCount()
      const abort = new AbortController()
      const response = await fetch(`${fleet.baseUrl}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${clientSecret}` },
        body: JSON.stringify({ model: 'drafting', stream: true, max_tokens: 100_000, messages: [{ role: 'user', content: 'long' }] }),
        signal: abort.signal
      })
      await response.body?.getReader().read()
      abort.abort()
      await waitUntil('the cancellation', () => cancelledCount() > before)
    })
  })

  describe('probes', () => {
    it('report liveness, readiness and metrics without a credential', async () => {
      expect((await fetch(`${fleet.baseUrl}/healthz`)).status).to.equal(200)
      expect((await fetch(`${fleet.baseUrl}/readyz`)).status).to.equal(200)
      const metrics = await (await fetch(`${fleet.baseUrl}/metrics`)).text()
      expect(metrics).to.contain('egretpaddle_first_token_milliseconds{quantile="0.95"}')
      expect(metrics).to.contain('egretpaddle_requests_total{kind="chat",outcome="completed"}')
    })
  })
})

function sendRaw (port: number, text: string): Promise<string> {
  return new Promise(resolve => {
    let responseText = ''
    const socket = connect(port, '127.0.0.1', () => socket.write(text))
    socket.on('data', chunk => { responseText += chunk.toString() })
    socket.on('error', () => undefined)
    socket.on('close', () => resolve(responseText))
  })
}
