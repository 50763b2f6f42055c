/** Stand-ins of the backend servers: plain ones and model servers in groups, as PROTOCOL.md describes them. */
import { createServer } from 'node:http'

const heartbeatMs = 1200
const rejoinMs = 200
const formMs = 300
let stampCount = 0

/** What all servers of a run share: their list, what broke a rule, and what they ran. */
export function createFleet ({ store, log, sizes, stallMs = 5000 }) {
  return { store, log, sizes, stallMs, servers: new Map(), violations: [], runs: [], everReady: new Set() }
}

function describeReady (id, groupKey, members) {
  return `${id} ${groupKey} ${members.join()}`
}

function keyOf (group) {
  return group === undefined ? undefined : `${group.name}/${group.epoch}`
}

/** `loadMs` is the time for weights that are neither loaded nor staged. */
export async function startServer (fleet, { id, backend, domain, zone = 'zone-a', slots = 18, loadMs = 300, born = Date.now(), address = '127.0.0.1', port: wantedPort = 0, registers = true, serve }) {
  const { log, store } = fleet
  let seq = 0
  let fence = 0
  let highestEpoch = 0
  let staged = domain === undefined ? undefined : []
  let models = domain === undefined ? undefined : []
  let group
  let state = 'ready'
  let beats = 0
  let isAlive = true
  let timers = []

  const sockets = new Set()
  const says = {}
  let silentToStore = !registers

  const server = createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('error', () => {})
    request.on('end', () => route(request, response, Buffer.concat(chunks)))
  })
  server.keepAliveTimeout = 60_000
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.on('error', () => {})
  })
  await new Promise(resolve => server.listen(wantedPort, address, resolve))
  const { port } = server.address()

  function describe () {
    return {
      backend,
      address: `${address}:${port}`,
      zone,
      version: 'v1',
      slots,
      state,
      coldRemainingMs: 0,
      stage: 'both',
      ...(domain === undefined ? {} : { domain, staged, models }),
      ...(group === undefined ? {} : { group: { name: group.name, epoch: group.epoch, rank: group.rank, state: group.state } }),
      seq: beats,
      born
    }
  }

  function publish () {
    if (!isAlive || silentToStore) return
    beats += 1
    store.put(`servers/${id}`, describe())
  }

  function later (ms, act) {
    timers.push(setTimeout(() => { if (isAlive) act() }, ms))
  }

  function setGroup (next) {
    group = next
    publish()
  }

  function getHead (ofGroup) {
    const head = fleet.servers.get(ofGroup?.members[0])
    return head !== undefined && keyOf(head.getGroup()) === keyOf(ofGroup) ? head : undefined
  }

  function checkTwo (order) {
    const head = getHead(group)
    // A head that has ended serves nothing.
    if (head === undefined || !head.isAlive() || keyOf(group) === `${order.group}/${order.epoch}`) return
    const headState = head.getGroup().state
    if (headState !== 'open' && headState !== 'closing') return
    fleet.violations.push({ rule: 'TWO', server: id, group: keyOf(group), head: head.id, headState, joins: `${order.group}/${order.epoch}` })
    log('VIOLATION TWO', { server: id, leaves: keyOf(group), head: head.id, headState, joins: `${order.group}/${order.epoch}` })
  }

  function join (order) {
    const known = group !== undefined && group.name === order.group && group.epoch === order.epoch
    if (order.epoch < highestEpoch) return 412
    if (known) return group.members.join() === order.members.join() ? 200 : 412
    checkTwo(order)
    highestEpoch = order.epoch
    if (group !== undefined) markLost(group)
    const takesMs = models.some(({ name }) => name === order.model) ? rejoinMs : staged.includes(order.model) ? rejoinMs * 2 : loadMs
    const joined = { name: order.group, epoch: order.epoch, members: order.members, model: order.model, rank: order.members.indexOf(id), state: 'joining' }
    setGroup(joined)
    later(takesMs, () => {
      if (group !== joined) return
      staged = [order.model]
      models = [{ name: order.model, version: 1, adapters: [] }]
      joined.state = 'ready'
      fleet.everReady.add(describeReady(id, keyOf(joined), joined.members))
      publish()
    })
    return 202
  }

  /** A member that goes leaves the head standing still, and broken after `stallMs`. */
  function markLost (ofGroup) {
    const head = getHead(ofGroup)
    if (head === undefined || head.id === id) return
    head.standStill()
  }

  function order (body) {
    if (body.fencingToken !== undefined && body.fencingToken < fence) return 412
    fence = Math.max(fence, body.fencingToken ?? 0)
    const fits = group !== undefined && group.name === body.group && group.epoch === body.epoch
    const mustMatch = body.expected !== undefined && body.expected !== seq
    switch (body.operation) {
      case 'join': {
        if (mustMatch && !(fits && group.members.join() === body.members.join())) return 409
        return join(body)
      }
      case 'open':
        if (!fits || group.rank !== 0) return 409
        if (group.state === 'open') return 200
        if (group.state !== 'ready' || mustMatch) return 409
        later(formMs, () => {
          if (!fits || group === undefined || keyOf(group) !== `${body.group}/${body.epoch}`) return
          group.state = 'open'
          publish()
        })
        return 202
      case 'close':
        if (!fits) return 409
        if (group.state === 'ready') return 200
        if (mustMatch) return 409
        group.state = 'ready'
        publish()
        return 202
      case 'leave':
        if (!fits) return group === undefined ? 200 : 409
        if (mustMatch) return 409
        markLost(group)
        setGroup(undefined)
        return 202
      case 'stage':
        if (staged.includes(body.model)) return 200
        if (mustMatch) return 409
        later(loadMs, () => {
          staged = [body.model]
          publish()
        })
        return 202
      default: return 400
    }
  }

  function route (request, response, body) {
    const expected = request.headers['x-expect-instance']
    const common = { ...(request.headers['x-attempt-id'] === undefined ? {} : { 'X-Attempt-Id': request.headers['x-attempt-id'] }), ...says }
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { ...common, 'X-Instance-Id': id, 'X-Not-Executed': '1' }).end()
      return
    }
    if (request.url === '/report') {
      response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify({ ...describe(), busy: false, seq, queued: 0, running: 0, kvUsed: 0, kvTotal: 90_000, handles: 0, pace: 1 }))
      return
    }
    if (request.url === '/order') {
      const parsed = JSON.parse(body.toString())
      const carryOut = () => {
        if (!isAlive) return 0
        const status = order(parsed)
        if (status === 202) seq += 1
        log('order', { server: id, operation: parsed.operation, group: parsed.group, epoch: parsed.epoch, model: parsed.model, status })
        return status
      }
      // A late order gets no answer, and is carried out after that time.
      const lateMs = fleet.getOrderDelayMs?.() ?? 0
      if (lateMs > 0) setTimeout(carryOut, lateMs)
      else response.writeHead(carryOut(), common).end()
      return
    }
    if (domain !== undefined) {
      if (group?.state !== 'open' || group.rank !== 0) {
        response.writeHead(group?.rank > 0 ? 421 : 503, { ...common, 'X-Not-Executed': '1' }).end()
        return
      }
      const unready = group.members.filter(member => !fleet.everReady.has(describeReady(member, keyOf(group), group.members)))
      if (unready.length > 0 || group.members.length !== fleet.sizes[group.model]) {
        fleet.violations.push({ rule: 'PARTIAL', server: id, group: keyOf(group) })
        log('VIOLATION PARTIAL', { server: id, group: keyOf(group) })
      }
    }
    fleet.runs.push({ server: id, backend, attempt: request.headers['x-attempt-id'], tenant: request.headers['x-tenant'], path: request.url, at: Date.now() })
    log('runs', { server: id, attempt: request.headers['x-attempt-id'], path: request.url })
    stampCount += 1
    const head = { ...common, 'X-Response-Stamp': `s.${id}.${stampCount}` }
    if (serve !== undefined) serve(request, response, body, head)
    else if (domain === undefined) response.writeHead(200, head).end('sound answer of the server')
    else stream(request, response, head)
  }

  function stream (request, response, head) {
    const from = Number(request.headers['last-event-id'] ?? 0)
    const openKey = keyOf(group)
    response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' })
    const send = index => {
      if (response.destroyed || !isAlive) return
      if (keyOf(group) !== openKey || stillSinceMs !== undefined) return later(100, () => send(index))
      response.write(`id: ${index}\ndata: token ${index}\n\n`)
      if (index >= 8) response.end()
      else setTimeout(send, 40, index + 1)
    }
    setTimeout(send, 40, from + 1)
  }

  let stillSinceMs
  const self = {
    id,
    port,
    says,
    describe,
    publish,
    getGroup: () => group,
    isAlive: () => isAlive,
    getModels: () => models,

    standStill () {
      if (stillSinceMs !== undefined) return
      stillSinceMs = Date.now()
      const stuck = group
      later(fleet.stallMs, () => {
        stillSinceMs = undefined
        if (group !== stuck) return
        stuck.state = 'broken'
        for (const socket of sockets) socket.destroy()
        publish()
      })
    },
    setState (next) {
      state = next
      publish()
    },
    cutFromStore () { silentToStore = true },
    reachesStore () {
      silentToStore = false
      publish()
    },
    kill () {
      if (!isAlive) return
      isAlive = false
      timers.forEach(clearTimeout)
      timers = []
      clearInterval(beat)
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
  fleet.servers.set(id, self)
  const beat = setInterval(publish, heartbeatMs)
  publish()
  return self
}
