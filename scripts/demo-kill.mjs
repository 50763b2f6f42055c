// Kills the engine that serves a stream, the leader of its group, and checks that another group completes the response.
import { readFileSync } from 'node:fs'

const entryUrl = 'http://127.0.0.1:8010'
const tokenCount = 200
const killAfterTokenCount = 40
const engineNumbers = [1, 2, 3, 4, 5, 6]
const indexPattern = /"token_index":(\d+)/g

async function findBusyEngine () {
  for (const number of engineNumbers) {
    const state = await (await fetch(`http://127.0.0.1:710${number}/state`)).json()
    if (state.activeStreamCount > 0) return number
  }
  throw new Error('no engine serves a stream')
}

const response = await fetch(`${entryUrl}/v1/chat/completions`, {
  method: 'POST',
  headers: { authorization: 'Bearer demo-vrany-foremen', 'content-type': 'application/json' },
  body: JSON.stringify({ model: 'drafting', stream: true, max_tokens: tokenCount, messages: [{ role: 'user', content: 'Describe the tower.' }] })
})
const indexes = []
let hasKilled = false
let text = ''
for await (const part of response.body.pipeThrough(new TextDecoderStream())) {
  text += part
  const found = [...part.matchAll(indexPattern)].map(match => Number(match[1]))
  indexes.push(...found)
  if (hasKilled || indexes.length < killAfterTokenCount) continue
  hasKilled = true
  const number = await findBusyEngine()
  process.kill(Number(readFileSync(`run/engine-${number}.pid`, 'utf8')), 'SIGKILL')
  console.log(`killed engine-${number} after ${indexes.length} tokens`)
}
const isComplete = indexes.length === tokenCount && indexes.every((index, position) => index === position)
if (!isComplete || !text.includes('[DONE]')) throw new Error(`the response is incomplete: ${indexes.length} tokens: ${text.slice(-300)}`)
console.log(`the response is complete: ${indexes.length} tokens, each once and in order`)
