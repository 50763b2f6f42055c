// Sends a stream request and an order to the demo's entry nodes, and prints the responses. The order is sent to both nodes
// under one idempotency key, so that it must be executed only once.
const entryUrls = ['http://127.0.0.1:8010', 'http://127.0.0.1:8020']
const headers = { authorization: 'Bearer demo-vrany-foremen', 'content-type': 'application/json' }
/** Groups may still be forming when the demo starts. */
const maxAttemptCount = 60
const pauseMs = 500

async function streamDraft () {
  const body = JSON.stringify({
    model: 'drafting',
    stream: true,
    max_tokens: 24,
    messages: [{ role: 'user', content: 'Summarise the condition of the north facade.' }]
  })
  for (let attempt = 0; attempt < maxAttemptCount; attempt += 1) {
    const response = await fetch(`${entryUrls[0]}/v1/chat/completions`, { method: 'POST', headers, body })
    if (response.ok) return await printStream(response)
    await response.text()
    await new Promise(resolve => setTimeout(resolve, pauseMs))
  }
  throw new Error('no complete group accepted the request')
}

async function printStream (response) {
  const events = (await response.text()).split('\n\n').filter(event => event.startsWith('data: {'))
  const chunks = events.map(event => JSON.parse(event.slice('data: '.length)))
  const text = chunks.map(chunk => chunk.choices?.[0]?.delta?.content ?? '').join('')
  console.log(`stream: ${events.length} chunks: ${text}`)
}

async function sendOrder (entryUrl, key) {
  const response = await fetch(`${entryUrl}/services/quarry-orders/orders`, {
    method: 'POST',
    headers: { ...headers, 'idempotency-key': key },
    body: JSON.stringify({ stone: 'sandstone', blockCount: 2 })
  })
  const replayed = response.headers.get('idempotency-replayed')
  console.log(`order ${key} at ${entryUrl}: status ${response.status}, replayed ${replayed}: ${await response.text()}`)
}

await streamDraft()
const key = `demo-${Date.now()}`
await sendOrder(entryUrls[0], key)
await sendOrder(entryUrls[1], key)
const counts = await Promise.all(['7201', '7202'].map(async port => (await fetch(`http://127.0.0.1:${port}/counts`)).json()))
console.log(`the services ran order ${key} ${counts.reduce((sum, count) => sum + (count.runs[key] ?? 0), 0)} time(s)`)
