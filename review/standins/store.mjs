// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"), on loopback, in memory.
import http from 'node:http'

const historyMs = 20_000

/** Starts a store. `era` is the value of the header Store-Era; it is left out when undefined. */
export async function startStore ({ era: firstEra } = {}) {
  let era = firstEra
  const items = new Map()
  const leases = new Map()
  const history = []
  const watches = new Set()
  let revision = 1
  let leaseCount = 0
  const cutsAtMs = []
  let lastPruneMs = Date.now()
  let isAway = false
  const sockets = new Set()

  function encode ({ key, value, revision, createdRev, lease }) {
    return { key, value: Buffer.from(value).toString('base64'), revision, createdRev, lease }
  }

  function record (event) {
    history.push({ atMs: Date.now(), event })
    for (const watch of [...watches]) watch.check()
  }

  function prune () {
    if (Date.now() - lastPruneMs < 1000) return
    lastPruneMs = Date.now()
    while (history.length > 0 && Date.now() - history[0].atMs > historyMs) history.shift()
  }

  function set (key, value, lease, atRevision) {
    const createdRev = items.get(key)?.createdRev ?? atRevision
    const item = { key, value, revision: atRevision, createdRev, lease }
    items.set(key, item)
    record(encode(item))
  }

  function erase (key, atRevision) {
    if (!items.delete(key)) return
    record({ key, revision: atRevision, deleted: true })
  }

  function endLease (id) {
    const lease = leases.get(id)
    if (lease === undefined) return false
    leases.delete(id)
    clearTimeout(lease.timer)
    const keys = [...items.values()].filter(item => item.lease === id).map(item => item.key)
    if (keys.length > 0) revision += 1
    for (const key of keys) erase(key, revision)
    return true
  }

  function renewLease (id) {
    const lease = leases.get(id)
    if (lease === undefined) return false
    clearTimeout(lease.timer)
    lease.timer = setTimeout(() => endLease(id), lease.ttlMs)
    return true
  }

  function listEvents (prefix, after) {
    return history.filter(({ event }) => event.revision > after && event.key.startsWith(prefix)).map(({ event }) => event)
  }

  function respond (response, status, body) {
    if (response.destroyed) return
    const headers = { 'Content-Type': 'application/json' }
    if (era !== undefined) headers['Store-Era'] = String(era)
    response.writeHead(status, headers)
    response.end(JSON.stringify(body))
  }

  function watch (request, response, prefix, after, waitMs) {
    const oldest = history[0]?.event.revision ?? revision + 1
    if (after > revision || after < oldest - 1) {
      if (after !== revision) return respond(response, 410, {})
    }
    const entry = {
      socket: request.socket,
      check () {
        const events = listEvents(prefix, after)
        if (events.length > 0) finish(events)
      }
    }
    function finish (events) {
      if (!watches.delete(entry)) return
      clearTimeout(timer)
      respond(response, 200, { events, asOf: revision })
    }
    const timer = setTimeout(() => finish([]), Math.min(30_000, waitMs))
    response.on('close', () => {
      clearTimeout(timer)
      watches.delete(entry)
    })
    watches.add(entry)
    entry.check()
  }

  function transact (response, { expected = [], puts = [], delete: deletes = [] }) {
    if (expected.some(({ key, revision }) => (items.get(key)?.revision ?? 0) !== revision)) {
      return respond(response, 412, { items: expected.flatMap(({ key }) => items.has(key) ? [encode(items.get(key))] : []) })
    }
    if (puts.some(({ lease }) => lease !== 0 && lease !== undefined && !leases.has(lease))) return respond(response, 404, {})
    if ([...puts.map(({ key }) => key), ...deletes].some(key => key.startsWith('op/') || key.startsWith('servers/'))) return respond(response, 403, {})
    revision += 1
    for (const { key, value, lease = 0 } of puts) set(key, Buffer.from(value, 'base64').toString(), lease, revision)
    for (const key of deletes) erase(key, revision)
    respond(response, 200, { revision })
  }

  function handle (request, response, body) {
    prune()
    const url = new URL(request.url, 'http://store')
    const query = url.searchParams
    const [, name, id] = url.pathname.split('/')
    switch (`${request.method} ${name}`) {
      case 'GET kv-key': {
        const item = items.get(query.get('key'))
        return item === undefined ? respond(response, 404, {}) : respond(response, 200, { ...encode(item), asOf: revision })
      }
      case 'GET kv-range': {
        const after = query.get('after') ?? ''
        const found = [...items.values()].filter(({ key }) => key.startsWith(query.get('prefix') ?? '') && key > after).sort((left, right) => left.key < right.key ? -1 : 1)
        return respond(response, 200, { items: found.slice(0, 500).map(encode), truncated: found.length > 500, asOf: revision })
      }
      case 'GET kv-watch':
        return watch(request, response, query.get('prefix') ?? '', Number(query.get('after')), Number(query.get('waitMs')))
      case 'POST kv-txn':
        return transact(response, body)
      case 'POST kv-lease': {
        leaseCount += 1
        const ttlMs = Math.min(600_000, Math.max(1000, body.ttlMs))
        leases.set(leaseCount, { ttlMs, timer: undefined })
        renewLease(leaseCount)
        return respond(response, 200, { lease: leaseCount, ttlMs })
      }
      case 'POST kv-keep':
        return renewLease(Number(id)) ? respond(response, 200, {}) : respond(response, 404, {})
      case 'DELETE kv-lease-end':
        return endLease(Number(id)) ? respond(response, 200, {}) : respond(response, 404, {})
      default:
        return respond(response, 404, {})
    }
  }

  const server = http.createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString()
      handle(request, response, text === '' ? {} : JSON.parse(text))
    })
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address()

  return {
    address: `127.0.0.1:${port}`,
    /** The operator or a server writes an item; the return is the ack, false while the store is away. */
    put (key, value) {
      if (isAway) return false
      revision += 1
      set(key, typeof value === 'string' ? value : JSON.stringify(value), 0, revision)
      return true
    },
    /** An entry is removed; the return is the ack. */
    remove (key) {
      revision += 1
      erase(key, revision)
    },
    /** Cuts a watch that is waiting, once there is one: its channel is closed in order, without an answer. */
    async cutWatch () {
      while (watches.size === 0) await new Promise(resolve => setTimeout(resolve, 5))
      const [{ socket }] = watches
      socket.end()
      cutsAtMs.push(Date.now())
    },
    /** Resolves once a watch has been cut. */
    async waitForCut () {
      while (cutsAtMs.length === 0) await new Promise(resolve => setTimeout(resolve, 5))
    },
    /** Makes a copy of all that the store holds. */
    copy: () => ({ items: [...items.values()], revision, leases: [...leases].map(([id, { ttlMs }]) => ({ id, ttlMs })), leaseCount }),
    /** The store is away: it takes no channels, and those that were open are reset. Nobody can write. */
    goAway () {
      isAway = true
      server.close()
      for (const socket of sockets) socket.resetAndDestroy()
    },
    /** The store comes back from the copy, in the next era. */
    async comeBack (copied) {
      era += 1
      revision = copied.revision
      leaseCount = copied.leaseCount
      history.length = 0
      items.clear()
      for (const item of copied.items) items.set(item.key, item)
      for (const { timer } of leases.values()) clearTimeout(timer)
      leases.clear()
      for (const { id, ttlMs } of copied.leases) {
        leases.set(id, { ttlMs, timer: undefined })
        renewLease(id)
      }
      await new Promise(resolve => server.listen(port, '127.0.0.1', resolve))
      isAway = false
    },
    isAway: () => isAway,
    listKeys: () => [...items.keys()],
    getValue: key => items.get(key)?.value,
    stop () {
      for (const { timer } of leases.values()) clearTimeout(timer)
      server.close()
      server.closeAllConnections()
    }
  }
}
