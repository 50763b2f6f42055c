/**
 * A small stand-in of the platform's store, as PROTOCOL.md describes it: one revision counter, items, watches, transactions and leases.
 * It runs in the process of the case that starts it, and listens on a free loopback port.
 */
import http from 'node:http'

const maxPageItems = 500
const maxWatchMs = 30_000
const historyMs = 20_000

/** Starts the store in an era; `address` is `host:port`. */
export async function startStore ({ era: firstEra = 1 } = {}) {
  const items = new Map()
  const leases = new Map()
  const history = []
  const watches = new Set()
  let era = firstEra
  let isAway = false
  let revision = 100
  let droppedRevision = 100
  let leaseCount = 0

  function record (event) {
    history.push({ ...event, atMs: Date.now() })
    while (history.length > 0 && Date.now() - history[0].atMs > historyMs) droppedRevision = history.shift().revision
    for (const watch of [...watches]) watch.check()
  }

  function put (key, value, lease = 0) {
    revision += 1
    for (const known of leases.values()) known.keys.delete(key)
    leases.get(lease)?.keys.add(key)
    items.set(key, { key, value: Buffer.from(value).toString('base64'), revision, createdRev: items.get(key)?.createdRev ?? revision, lease })
    record({ key, revision, item: items.get(key) })
    return revision
  }

  function remove (key) {
    if (!items.delete(key)) return revision
    revision += 1
    record({ key, revision })
    return revision
  }

  function endLease (id) {
    const lease = leases.get(id)
    if (lease === undefined) return false
    clearTimeout(lease.timer)
    leases.delete(id)
    for (const key of lease.keys) remove(key)
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
    return history.filter(event => event.revision > after && event.key.startsWith(prefix)).map(({ key, revision: at, item }) => item ?? { key, revision: at, deleted: true })
  }

  function readRange (query) {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after') ?? ''
    const keys = [...items.keys()].filter(key => key.startsWith(prefix) && key > after).sort()
    return { items: keys.slice(0, maxPageItems).map(key => items.get(key)), truncated: keys.length > maxPageItems, asOf: revision }
  }

  function watchRange (query, send, response) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    if (after < droppedRevision || after > revision) return send(410, { error: 'this history is no longer available' })
    const end = () => {
      clearTimeout(timer)
      watches.delete(watch)
      send(200, { events: listEvents(prefix, after), asOf: revision })
    }
    const watch = { check: () => { if (listEvents(prefix, after).length > 0) end() } }
    const timer = setTimeout(end, Math.min(maxWatchMs, Number(query.get('waitMs'))))
    response.on('close', () => {
      clearTimeout(timer)
      watches.delete(watch)
    })
    watches.add(watch)
    watch.check()
  }

  function transact ({ expected = [], puts = [], delete: deleted = [] }, send) {
    const isOwn = key => !key.startsWith('op/') && !key.startsWith('servers/')
    if (![...puts.map(({ key }) => key), ...deleted].every(isOwn)) return send(403, {})
    if (puts.some(({ lease }) => (lease ?? 0) !== 0 && !leases.has(lease))) return send(404, {})
    if (expected.some(row => (items.get(row.key)?.revision ?? 0) !== row.revision)) return send(412, { items: expected.flatMap(({ key }) => items.get(key) ?? []) })
    for (const { key, value, lease } of puts) put(key, Buffer.from(value, 'base64'), lease ?? 0)
    for (const key of deleted) remove(key)
    send(200, { revision })
  }

  function handle (method, { pathname, searchParams }, body, send, response) {
    const [, call, id] = pathname.split('/')
    switch (`${method} ${call}`) {
      case 'GET kv-key': {
        const item = items.get(searchParams.get('key') ?? '')
        return item === undefined ? send(404, { asOf: revision }) : send(200, { ...item, asOf: revision })
      }
      case 'GET kv-range': return send(200, readRange(searchParams))
      case 'GET kv-watch': return watchRange(searchParams, send, response)
      case 'POST kv-txn': return transact(body, send)
      case 'POST kv-lease': {
        leaseCount += 1
        leases.set(leaseCount, { ttlMs: body.ttlMs, keys: new Set(), timer: undefined })
        renewLease(leaseCount)
        return send(200, { lease: leaseCount, ttlMs: body.ttlMs })
      }
      case 'POST kv-keep': return send(renewLease(Number(id)) ? 200 : 404, {})
      case 'DELETE kv-lease-end': return send(endLease(Number(id)) ? 200 : 404, {})
      default: return send(400, {})
    }
  }

  const server = http.createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => {
      if (isAway) {
        request.socket.destroy()
        return
      }
      const send = (status, body) => {
        if (response.destroyed || response.headersSent) return
        response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': String(era) }).end(JSON.stringify(body))
      }
      handle(request.method, new URL(request.url, 'http://store'), chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString()), send, response)
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    put,
    remove,
    /** A copy of the content, for `comeBack`. */
    saveCopy: () => ({ atMs: Date.now(), revision, leaseCount, items: new Map(items), leases: [...leases].map(([id, { ttlMs, keys }]) => [id, { ttlMs, keys: new Set(keys) }]) }),
    /** The store is away from now on. */
    goAway () {
      isAway = true
      watches.clear()
      server.closeAllConnections()
    },
    /** It comes back from a copy: what was acknowledged since is gone, leases and revisions too. */
    comeBack (copy) {
      for (const { timer } of leases.values()) clearTimeout(timer)
      leases.clear()
      items.clear()
      history.length = 0
      for (const [key, item] of copy.items) items.set(key, item)
      for (const [id, { ttlMs, keys }] of copy.leases) leases.set(id, { ttlMs, keys: new Set(keys), timer: undefined })
      for (const id of leases.keys()) renewLease(id)
      revision = copy.revision
      droppedRevision = copy.revision
      leaseCount = copy.leaseCount
      era += 1
      isAway = false
    },
    stop () {
      for (const id of [...leases.keys()]) clearTimeout(leases.get(id).timer)
      server.close()
      server.closeAllConnections()
    }
  }
}
