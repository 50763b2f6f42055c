// Small stand-ins of model servers: reports, orders and streams as in PROTOCOL.md. They judge the rules on groups.
import { once } from 'node:events'
import http from 'node:http'
import { sleep } from './standins.mjs'

const joinMs = 200
const heartbeatMs = 1200

/** Starts engines. `models` has `name`, `size`, `loadS` and `warmS`. `record` gets a line for each thing that happens. */
export async function startEngines ({ store, count, domainSize, models, formMs, stallMs, record, service = 'llm' }) {
  const engines = []
  const broken = []
  /** Members that were ever ready, by name, epoch and list. */
  const readyEver = new Map()

  const formatList = group => `${group.name}/${group.epoch}/${group.members.join(',')}`
  const findEngine = id => engines.find(engine => engine.id === id)
  /** The head by the list of the join. */
  const isSameGroup = (left, right) => left !== undefined && right !== undefined && formatList(left) === formatList(right)

  function breakRule (text) {
    broken.push(text)
    record(`BROKEN: ${text}`)
  }

  function beat (engine) {
    if (engine.isDown) return
    engine.beats += 1
    const group = engine.group === undefined ? undefined : { name: engine.group.name, epoch: engine.group.epoch, rank: engine.group.rank, state: engine.group.state }
    store.put(`servers/${engine.id}`, JSON.stringify({
      backend: service,
      address: `127.0.0.1:${engine.port}`,
      zone: 'zone-1',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      seq: engine.beats,
      born: engine.born,
      stage: 'both',
      domain: engine.domain,
      models: engine.loaded === undefined ? [] : [{ name: engine.loaded, version: 1, adapters: [] }],
      staged: engine.staged,
      group
    }))
  }

  function checkTwo (engine, order) {
    const { group } = engine
    if (group === undefined || (group.name === order.group && group.epoch === order.epoch && group.members.join() === order.members.join())) return
    const head = findEngine(group.members[0])
    if (head === undefined || head.group === undefined || !isSameGroup(head.group, group)) return
    if (head.group.state === 'open' || head.group.state === 'closing') {
      breakRule(`TWO, ${engine.id} takes a join of ${order.group} with the members ${order.members.join(' ')} while the head ${head.id} of its group ${group.name} with the members ${group.members.join(' ')} is ${head.group.state}`)
    }
  }

  function join (engine, order) {
    const rank = order.members.indexOf(engine.id)
    const model = models.find(candidate => candidate.name === order.model)
    if (rank < 0 || model === undefined) return 400
    if (order.epoch < engine.highestEpoch) return 412
    const { group } = engine
    const isSame = engine.lists.get(`${order.group}/${order.epoch}`)
    if (isSame !== undefined && isSame !== order.members.join()) return 412
    if (group !== undefined && group.name === order.group && group.epoch === order.epoch) return 200
    checkTwo(engine, order)
    engine.highestEpoch = order.epoch
    engine.lists.set(`${order.group}/${order.epoch}`, order.members.join())
    const joined = { name: order.group, epoch: order.epoch, rank, state: 'joining', members: order.members, model: model.name }
    engine.group = joined
    const loadS = engine.hasTraffic() ? model.loadS : model.loadS / 10
    const durationMs = engine.loaded === model.name ? joinMs : 1000 * (engine.staged.includes(model.name) ? model.warmS : loadS)
    setTimeout(() => {
      if (engine.group !== joined) return
      engine.loaded = model.name
      engine.staged = [model.name]
      joined.state = 'ready'
      const list = formatList(joined)
      readyEver.set(list, (readyEver.get(list) ?? new Set()).add(engine.id))
      beat(engine)
    }, durationMs)
    return 202
  }

  function handleOrder (engine, order) {
    if (order.fencingToken !== undefined && order.fencingToken < engine.highestFence) return 412
    engine.highestFence = Math.max(engine.highestFence, order.fencingToken ?? 0)
    if (order.expected !== undefined && order.expected !== engine.seq) return 409
    const { group } = engine
    const isOwn = group !== undefined && group.name === order.group && group.epoch === order.epoch
    switch (order.operation) {
      case 'join': return join(engine, order)
      case 'open':
        if (!isOwn || group.rank !== 0) return 409
        if (group.state === 'open') return 200
        if (group.state !== 'ready') return 409
        setTimeout(() => {
          if (engine.group !== group || group.state !== 'ready') return
          group.state = 'open'
          beat(engine)
        }, formMs)
        return 202
      case 'close':
        if (!isOwn || group.rank !== 0) return 409
        if (group.state === 'ready') return 200
        group.state = 'closing'
        setTimeout(() => {
          if (engine.group !== group) return
          group.state = 'ready'
          beat(engine)
        }, 50)
        return 202
      case 'leave':
        if (!isOwn) return 409
        engine.group = undefined
        return 202
      case 'stage':
        if (engine.staged.includes(order.model)) return 200
        setTimeout(() => {
          engine.staged = [order.model]
          beat(engine)
        }, 1000 * (models.find(model => model.name === order.model)?.loadS ?? 1) / (engine.hasTraffic() ? 1 : 10))
        return 202
      default: return 400
    }
  }

  function stream (engine, request, response) {
    const attemptId = request.headers['x-attempt-id']
    const { group } = engine
    if (group === undefined || group.rank !== 0 || group.state !== 'open') {
      response.writeHead(421, { 'X-Instance-Id': engine.id, 'X-Attempt-Id': attemptId, 'Content-Length': 0 }).end()
      return
    }
    const size = models.find(model => model.name === group.model)?.size
    const ready = readyEver.get(formatList(group)) ?? new Set()
    const missing = group.members.filter(id => !ready.has(id))
    record(`${engine.id} runs ${attemptId} in ${group.name} with the members ${group.members.join(' ')}`)
    engine.ranIds.push(attemptId)
    if (group.members.length !== size || missing.length > 0) {
      breakRule(`PARTIAL, ${attemptId} runs in ${group.name}: ${group.members.length} members of ${size}, never ready under its name, epoch and list: ${missing.join(' ') || 'none'}`)
    }
    // Nothing moves while a member isn't there.
    const isWhole = () => group.members.every(id => isSameGroup(findEngine(id)?.group, group)) && engine.group === group
    response.writeHead(200, { 'Content-Type': 'text/event-stream', 'X-Attempt-Id': attemptId, 'X-Response-Stamp': `stamp.${engine.id}.${attemptId}`, 'X-Weight-Versions': '1' })
    let id = Number(request.headers['last-event-id'] ?? 0)
    let stalledAtMs
    const timer = setInterval(() => {
      if (response.destroyed) {
        clearInterval(timer)
        return
      }
      if (!isWhole()) {
        stalledAtMs ??= Date.now()
        if (Date.now() - stalledAtMs < stallMs && engine.group === group) return
        clearInterval(timer)
        if (engine.group === group) group.state = 'broken'
        response.destroy()
        return
      }
      stalledAtMs = undefined
      id += 1
      response.write(`id: ${id}\ndata: piece ${id}\n\n`)
      if (id >= 10) {
        clearInterval(timer)
        response.end()
      }
    }, 50)
  }

  async function startEngine (index) {
    const engine = {
      id: `i-${String(index).padStart(2, '0')}`, domain: `d${Math.floor(index / domainSize)}`, born: Date.now(), beats: 0, seq: 0, highestEpoch: 0, highestFence: 0, lists: new Map(), staged: [], loaded: undefined, group: undefined, ranIds: [], hasTraffic: () => engines.some(({ ranIds }) => ranIds.length > 0)
    }
    const server = http.createServer((request, response) => {
      const chunks = []
      request.on('data', chunk => chunks.push(chunk))
      request.on('end', () => {
        const expected = request.headers['x-expect-instance']
        const json = (status, value) => response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(value))
        if (expected !== undefined && expected !== engine.id) {
          response.writeHead(421, { 'X-Instance-Id': engine.id, 'Content-Length': 0 }).end()
        } else if (request.url === '/report') {
          const group = engine.group === undefined ? undefined : { name: engine.group.name, epoch: engine.group.epoch, rank: engine.group.rank, state: engine.group.state }
          json(200, { stage: 'both', models: engine.loaded === undefined ? [] : [{ name: engine.loaded, version: 1, adapters: [] }], busy: false, seq: engine.seq, queued: 0, running: 0, kvUsed: 0, kvTotal: 90_000, handles: 0, pace: 1, group, staged: engine.staged })
        } else if (request.url === '/order') {
          const order = JSON.parse(Buffer.concat(chunks).toString())
          const status = handleOrder(engine, order)
          if (status === 202) engine.seq += 1
          record(`${engine.id} ${order.operation} ${order.group ?? order.model} ${order.operation === 'join' ? `with the members ${order.members.join(' ')} ` : ''}-> ${status}`)
          beat(engine)
          json(status, {})
        } else if (request.headers['x-attempt-id'] === undefined) {
          response.writeHead(200, { 'X-Instance-Id': engine.id, 'Content-Length': 0 }).end()
        } else {
          stream(engine, request, response)
        }
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    engine.port = server.address().port
    engine.server = server
    engines.push(engine)
    beat(engine)
    engine.timer = setInterval(() => { if (!engine.isDown) beat(engine) }, heartbeatMs)
  }

  /** The process ends, and starts again under its id after `downMs`. It holds and knows nothing of before. */
  async function crash (engine, downMs) {
    record(`${engine.id} crashes, a member of ${engine.group?.name ?? 'no group'} (${engine.group?.state ?? ''})`)
    engine.isDown = true
    engine.group = undefined
    engine.server.close()
    engine.server.closeAllConnections()
    await sleep(downMs)
    if (engine.isStopped) return
    engine.lists.clear()
    Object.assign(engine, { loaded: undefined, seq: 0, highestEpoch: 0, highestFence: 0, born: Date.now(), isDown: false })
    engine.server.listen(engine.port, '127.0.0.1')
    await once(engine.server, 'listening')
    record(`${engine.id} has started again`)
    beat(engine)
  }

  for (let index = 0; index < count; index += 1) {
    await startEngine(index)
    await sleep(5)
  }
  return {
    engines,
    broken,
    crash,
    stop () {
      for (const engine of engines) {
        engine.isStopped = true
        clearInterval(engine.timer)
        engine.server.close()
        engine.server.closeAllConnections()
      }
    }
  }
}
