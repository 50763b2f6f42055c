/** A small stand-in of the servers of a model service, as PROTOCOL.md describes them: orders, groups and streams. They run in the process of the case. */
import http from 'node:http'

const beatMs = 1200
/** An entry goes after three check-in intervals of silence. */
const lapseMs = 3 * beatMs
const rejoinMs = 200

/** Creates the servers of one service, which know of each other what a group's head learns of its members. */
export function createEngines ({ store, backend, model, stallMs, formMs = 20, eventCount = 20, eventMs = 25, firstEventMs = 60, onArrival = () => {}, onCrash = () => {}, onBrokenRule = () => {} }) {
  const servers = new Map()

  /** Starts a server, or starts it again after a crash: it then knows nothing of before, but for the models that its host holds. */
  async function start (id, domain, zone, staged = []) {
    const born = Date.now()
    const sockets = new Set()
    const streams = new Set()
    let group
    let lastModel
    let orderCount = 0
    let beatCount = 0
    let highestFence = 0
    let highestEpoch = 0
    let lossAtMs
    let isAlive = true

    const isMember = other => other !== undefined && other.isAlive() && other.getGroup()?.name === group.name && other.getGroup()?.epoch === group.epoch
    const hasAllMembers = () => group.members.every(memberId => memberId === id || isMember(servers.get(memberId)))

    /** `open`, `stalled` or `closed`, as a request finds the head. */
    function getService () {
      if (group === undefined || group.rank !== 0 || group.state !== 'open') return 'closed'
      if (lossAtMs === undefined && hasAllMembers()) return 'open'
      lossAtMs ??= Date.now()
      if (Date.now() - lossAtMs < stallMs) return 'stalled'
      setGroup({ ...group, state: 'broken' })
      return 'closed'
    }

    function describe () {
      const stated = group === undefined ? null : { name: group.name, epoch: group.epoch, rank: group.rank, state: group.state }
      return { staged, models: lastModel === undefined ? [] : [{ name: lastModel, version: 1, adapters: [] }], group: stated }
    }

    function register () {
      if (!isAlive) return
      beatCount += 1
      store.put(`servers/${id}`, JSON.stringify({ backend, address: `127.0.0.1:${server.address().port}`, zone, version: 'v1', slots: 18, state: 'ready', coldRemainingMs: 0, seq: beatCount, born, domain, ...describe() }))
    }

    function setGroup (next) {
      if (next === undefined || next.name !== group?.name || next.epoch !== group?.epoch) lossAtMs = undefined
      group = next
      register()
    }

    /** TWO: the head of its group is open, or stands still and isn't yet broken. */
    function checkJoin (name) {
      const head = group === undefined ? undefined : servers.get(group.members[0])
      const isOfGroup = head !== undefined && head.isAlive() && head.getGroup()?.name === group.name && head.getGroup()?.epoch === group.epoch
      if (isOfGroup && head.getGroup().state === 'open') onBrokenRule({ rule: 'TWO', atMs: Date.now(), serverId: id, text: `${id} takes a join of ${name} while the head ${head.id} of its group ${group.name} is open` })
    }

    function join ({ group: name, epoch, model: wanted, members }) {
      if (epoch < highestEpoch) return 412
      const isSame = group?.name === name && group.epoch === epoch
      if (isSame && String(group.members) !== String(members)) return 412
      if (isSame) return 200
      checkJoin(name)
      highestEpoch = epoch
      const delayMs = lastModel === wanted ? rejoinMs : (staged.includes(wanted) ? model.warmS : model.loadS) * 1000
      setGroup({ name, epoch, members, rank: members.indexOf(id), state: 'joining' })
      setTimeout(() => {
        if (!isAlive || group?.name !== name || group.epoch !== epoch) return
        staged = [wanted]
        lastModel = wanted
        setGroup({ ...group, state: 'ready' })
      }, delayMs)
      return 202
    }

    function obey (order) {
      if (order.fencingToken !== undefined && order.fencingToken < highestFence) return 412
      highestFence = Math.max(highestFence, order.fencingToken ?? 0)
      if (order.expected !== undefined && order.expected !== orderCount) return 409
      const isOwn = group !== undefined && order.group === group.name && order.epoch === group.epoch
      switch (order.operation) {
        case 'join': return join(order)
        case 'stage':
          if (staged.includes(order.model)) return 200
          setTimeout(() => {
            staged = [order.model]
            register()
          }, model.loadS * 1000)
          return 202
        case 'open':
          if (!isOwn || group.rank !== 0) return 409
          if (group.state === 'open') return 200
          if (group.state !== 'ready') return 409
          setTimeout(() => { if (group?.name === order.group && group.epoch === order.epoch && group.state === 'ready') setGroup({ ...group, state: 'open' }) }, formMs)
          return 202
        case 'close':
          if (!isOwn) return 409
          if (group.state === 'ready') return 200
          for (const cut of [...streams]) cut()
          setGroup({ ...group, state: 'ready' })
          return 202
        case 'leave':
          if (!isOwn) return 200
          for (const cut of [...streams]) cut()
          setGroup(undefined)
          return 202
        default: return 400
      }
    }

    function serve (request, response, body) {
      const requestId = request.headers['x-attempt-id']
      const echo = { 'X-Attempt-Id': requestId }
      if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== id) return response.writeHead(421, { ...echo, 'X-Instance-Id': id, 'Content-Length': '0' }).end()
      const service = getService()
      if (service === 'closed') return response.writeHead(group?.state === 'broken' ? 503 : 421, { ...echo, 'X-Not-Executed': '1', 'Content-Length': '0' }).end()
      const arrival = { serverId: id, requestId, atMs: Date.now(), headers: request.headers, body }
      const crashes = onArrival(arrival) === 'crash'
      let next = Number(request.headers['last-event-id'] ?? 0) + 1
      const cut = () => {
        streams.delete(cut)
        clearTimeout(timer)
        response.socket?.resetAndDestroy()
      }
      const write = () => {
        if (!isAlive || response.destroyed) return
        if (getService() === 'stalled') {
          timer = setTimeout(cut, Math.max(0, lossAtMs + stallMs - Date.now()))
          return
        }
        if (!response.headersSent) response.writeHead(200, { ...echo, 'X-Response-Stamp': `${id}.${requestId}`, 'X-Weight-Versions': '1', 'Content-Type': 'text/event-stream' })
        // It begins to write an answer, and ends.
        if (crashes) {
          response.flushHeaders()
          setTimeout(crash, 2)
          return
        }
        response.write(`id: ${next}\ndata: token ${next} of ${requestId}\n\n`)
        next += 1
        if (next > eventCount) {
          streams.delete(cut)
          response.end()
        } else timer = setTimeout(write, eventMs)
      }
      let timer = setTimeout(write, firstEventMs)
      streams.add(cut)
      response.on('close', () => {
        streams.delete(cut)
        clearTimeout(timer)
      })
    }

    const server = http.createServer({ maxHeaderSize: 65_536 }, (request, response) => {
      const chunks = []
      request.on('data', chunk => chunks.push(chunk))
      request.on('end', () => {
        if (!isAlive) return
        const text = Buffer.concat(chunks).toString()
        if (request.url === '/report') {
          response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify({ stage: 'both', busy: false, seq: orderCount, queued: 0, running: streams.size, kvUsed: 0, kvTotal: 1_710_000, handles: 0, pace: 1, ...describe() }))
        } else if (request.url === '/order') {
          const status = request.headers['x-expect-instance'] === id ? obey(JSON.parse(text)) : 421
          if (status === 202) orderCount += 1
          response.writeHead(status, { 'Content-Length': '0' }).end()
        } else serve(request, response, text)
      })
    })
    server.keepAliveTimeout = 60_000
    server.on('connection', socket => {
      sockets.add(socket)
      socket.on('close', () => sockets.delete(socket))
    })

    function end () {
      isAlive = false
      clearInterval(beat)
      server.close()
      for (const socket of sockets) socket.resetAndDestroy()
    }

    function crash () {
      if (!isAlive) return
      end()
      setTimeout(() => { if (!servers.get(id).isAlive()) store.remove(`servers/${id}`) }, lapseMs)
      onCrash({ serverId: id, atMs: Date.now(), restart: () => start(id, domain, zone, staged) })
    }

    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    const beat = setInterval(register, beatMs)
    servers.set(id, { id, isAlive: () => isAlive, getGroup: () => group, isOpen: () => getService() === 'open', end })
    register()
  }

  return {
    start,
    countOpen: () => [...servers.values()].filter(server => server.isAlive() && server.isOpen()).length,
    stop () { for (const server of servers.values()) if (server.isAlive()) server.end() }
  }
}
