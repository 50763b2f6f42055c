// Stand-ins of backend servers (PROTOCOL.md, "Servers"): servers of a plain service and model servers.
import { randomBytes } from 'node:crypto'
import http from 'node:http'

import { sleep } from './gateway.mjs'

const heartbeatMs = 1200

/**
 * Starts a server and registers it in the store. `respond(request, response, body)` may answer a request in its place; it
 * returns true if it has. `fleet` holds the servers by id; with it the head of a group stands still when a member of it has died, left
 * or joined another group, and breaks after `stallMs`. With `loads`, the times of each model by its name (`loadMs`, `warmMs`), a model that
 * isn't staged on the host is loaded from the shared store first; without it all models are at hand.
 */
export async function startServer ({ store, service, zone = 'z1', domain, slots = 18, id = `i-${randomBytes(4).toString('hex')}`, workMs = 10, eventCount = 10, eventIntervalMs = 20, joinMs = 100, loads, openMs = 50, stallMs = 5000, fleet, respond, onEvent = () => {}, onJoin = () => {} }) {
  const born = Date.now()
  const arrivals = []
  const orders = []
  let state = 'ready'
  let beats = 0
  let isListed = true
  let writesFromMs = 0
  let isAlive = true
  let group
  let models = []
  let staged = []
  let stagedAtMs = 0
  let highestToken = 0
  let highestEpoch = 0
  let seq = 0
  const listOfEpoch = new Map()

  function describe () {
    return { backend: service, address: `127.0.0.1:${server.address().port}`, zone, version: 'v1', slots, state, coldRemainingMs: 0, seq: beats, born, ...(domain === undefined ? {} : { domain, staged, models, stage: 'both', group: group ?? null }) }
  }

  function publish () {
    if (isListed && Date.now() >= writesFromMs) store.put(`servers/${id}`, describe())
  }

  function setGroup (next) {
    group = next
    onEvent({ atMs: Date.now(), serverId: id, group: group === undefined ? undefined : { ...group } })
    publish()
  }

  /** Loads the model onto the host, after any staging that is under way; the host keeps one. */
  function stage (model, then) {
    const startsMs = Math.max(Date.now(), stagedAtMs)
    stagedAtMs = startsMs + (loads?.[model].loadMs ?? 0)
    const finish = () => {
      staged = [model]
      if (isAlive) publish()
      then()
    }
    if (stagedAtMs <= Date.now()) finish()
    else setTimeout(finish, stagedAtMs - Date.now())
  }

  /** Calls back once the model is ready to serve: after 0.2 s if the server has it loaded, after `warmMs` if it is staged, else after a load. */
  function afterLoad (model, then) {
    if (loads === undefined) setTimeout(then, joinMs)
    else if (models[0]?.name === model) setTimeout(then, 200)
    else if (staged.includes(model)) setTimeout(then, loads[model].warmMs)
    else stage(model, () => setTimeout(then, loads[model].warmMs))
  }

  function takeOrder (order) {
    if (order.fencingToken !== undefined && order.fencingToken < highestToken) return 412
    if (order.expected !== undefined && order.expected !== seq) return 409
    highestToken = Math.max(highestToken, order.fencingToken ?? 0)
    const isOwnGroup = group !== undefined && group.name === order.group && group.epoch === order.epoch
    switch (order.operation) {
      case 'join': {
        const key = `${order.group}/${order.epoch}`
        const list = order.members.join(',')
        if (order.epoch < highestEpoch || (listOfEpoch.has(key) && listOfEpoch.get(key) !== list)) return 412
        if (group !== undefined && !isOwnGroup) onJoin({ id, from: group, to: order, head: fleet?.get(group.members[0]) })
        highestEpoch = order.epoch
        listOfEpoch.set(key, list)
        seq += 1
        const joined = { name: order.group, epoch: order.epoch, rank: order.members.indexOf(id), state: 'joining', members: order.members }
        setGroup(joined)
        afterLoad(order.model, () => {
          if (!isAlive || group?.name !== joined.name || group.epoch !== joined.epoch || group.state !== 'joining') return
          staged = [order.model]
          models = [{ name: order.model, version: 1, adapters: [] }]
          setGroup({ ...joined, state: 'ready' })
        })
        return 202
      }
      case 'open': {
        if (!isOwnGroup || group.rank !== 0) return 409
        if (group.state === 'open') return 200
        if (group.state !== 'ready') return 409
        seq += 1
        const { name, epoch } = group
        setTimeout(() => {
          if (group?.name === name && group.epoch === epoch && group.state === 'ready') setGroup({ ...group, state: 'open' })
        }, openMs)
        return 202
      }
      case 'close': {
        if (!isOwnGroup) return 409
        seq += 1
        setGroup({ ...group, state: 'ready' })
        return 202
      }
      case 'leave': {
        if (!isOwnGroup) return 409
        seq += 1
        setGroup(undefined)
        return 202
      }
      case 'stage': {
        seq += 1
        stage(order.model, () => {})
        return 202
      }
      default:
        return 400
    }
  }

  function handle (request, response, body) {
    if (request.url === '/report') {
      response.writeHead(200, { 'Content-Type': 'application/json' })
      response.end(JSON.stringify({ stage: 'both', models, busy: false, seq, queued: 0, running: 0, kvUsed: 0, kvTotal: 1_000_000, handles: 0, pace: 1, group: group ?? null, domain, staged, born }))
      return
    }
    const attemptId = request.headers['x-attempt-id']
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'X-Not-Executed': '1', 'Content-Length': '0', ...(attemptId === undefined ? {} : { 'X-Attempt-Id': attemptId }) }).end()
      return
    }
    if (request.url === '/order') {
      const order = JSON.parse(body)
      const status = takeOrder(order)
      orders.push({ atMs: Date.now(), status, order })
      response.writeHead(status, { 'Content-Length': '0' }).end()
      return
    }
    if (attemptId === undefined) {
      response.writeHead(400, { 'X-Not-Executed': '1', 'Content-Length': '0' }).end()
      return
    }
    if (domain !== undefined && (group?.state !== 'open' || group.rank !== 0)) {
      response.writeHead(421, { 'X-Not-Executed': '1', 'X-Attempt-Id': attemptId, 'Content-Length': '0' }).end()
      return
    }
    arrivals.push({ atMs: Date.now(), attemptId, url: request.url, method: request.method, headers: request.headers, body })
    if (respond?.(request, response, body) === true) return
    if (domain === undefined) answerPlain(response, attemptId)
    else answerStream(request, response, attemptId)
  }

  function answerPlain (response, attemptId) {
    setTimeout(() => {
      const text = `answer of ${id} to ${attemptId}`
      response.writeHead(200, { 'X-Attempt-Id': attemptId, 'X-Response-Stamp': `${id}.${attemptId}`, 'Content-Length': String(text.length) })
      response.end(text)
    }, workMs)
  }

  function hasWholeGroup (own) {
    return fleet === undefined || own.members.every(memberId => {
      const member = fleet.get(memberId)
      const current = member?.getGroup()
      return member?.isAlive() === true && current?.name === own.name && current.epoch === own.epoch
    })
  }

  async function answerStream (request, response, attemptId) {
    const own = group
    let stoodStillFromMs
    response.writeHead(200, { 'X-Attempt-Id': attemptId, 'X-Response-Stamp': `${id}.${attemptId}`, 'Content-Type': 'text/event-stream', 'X-Weight-Versions': '1' })
    for (let event = Number(request.headers['last-event-id'] ?? 0) + 1; event <= eventCount; event += 1) {
      await sleep(eventIntervalMs)
      if (response.destroyed) return
      if (!hasWholeGroup(own)) {
        stoodStillFromMs ??= Date.now()
        if (Date.now() - stoodStillFromMs >= stallMs) {
          request.socket.resetAndDestroy()
          return
        }
        event -= 1
        continue
      }
      response.write(`id: ${event}\ndata: ${id} ${attemptId} ${event}\n\n`)
    }
    response.end()
  }

  const server = http.createServer({ keepAliveTimeout: 15_000 }, (request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('error', () => {})
    request.on('end', () => handle(request, response, Buffer.concat(chunks).toString()))
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  publish()
  const timer = setInterval(() => {
    beats += 1
    publish()
  }, heartbeatMs)

  const self = {
    id,
    arrivals,
    orders,
    domain,
    getGroup: () => group,
    isAlive: () => isAlive,
    /** Writes nothing in the store until then, and writes its entry at that time. */
    holdWrites (untilMs) {
      writesFromMs = untilMs
      setTimeout(publish, Math.max(0, untilMs - Date.now()))
    },
    /** Reports that it is draining. */
    drain () {
      state = 'draining'
      publish()
    },
    /** Leaves without having reported it: its entry is removed, and it goes on serving. Returns the time of the ack. */
    leave () {
      isListed = false
      clearInterval(timer)
      store.remove(`servers/${id}`)
      return Date.now()
    },
    stop () {
      isListed = false
      isAlive = false
      clearInterval(timer)
      server.close()
      server.closeAllConnections()
    }
  }
  fleet?.set(id, self)
  return self
}
