/** A stand-in of the platform's store: PROTOCOL.md, "The platform's metadata store". */
import { createServer } from 'node:http'

const maxPageItems = 500
const historyLength = 20_000

export async function startStore ({ firstRevision = 1, era = 0 } = {}) {
  const items = new Map()
  const leases = new Map()
  const waiting = new Set()
  let history = []
  let revision = firstRevision
  let dropsBefore = firstRevision
  let leaseCount = 0
  /** A test may answer a call itself: return true when it has. */
  let intercept = () => false

  const encode = text => Buffer.from(text).toString('base64')
  const show = item => ({ key: item.key, value: encode(item.text), revision: item.revision, createdRev: item.createdRev, lease: item.lease })

  function record (event) {
    history.push(event)
    if (history.length > historyLength) dropsBefore = history.splice(0, history.length - historyLength).at(-1).revision
    for (const wake of [...waiting]) wake()
  }

  function writeItem (key, text, lease, at) {
    items.set(key, { key, text, revision: at, createdRev: items.get(key)?.createdRev ?? at, lease })
    record({ key, revision: at, item: items.get(key) })
  }

  function deleteItem (key, at) {
    if (items.delete(key)) record({ key, revision: at })
  }

  function endLease (id) {
    const lease = leases.get(id)
    if (lease === undefined) return false
    clearTimeout(lease.timer)
    leases.delete(id)
    for (const item of [...items.values()]) if (item.lease === id) deleteItem(item.key, ++revision)
    return true
  }

  function armLease (id) {
    const lease = leases.get(id)
    clearTimeout(lease.timer)
    lease.timer = setTimeout(() => endLease(id), lease.ttlMs)
  }

  function reply (response, status, body) {
    if (response.destroyed) return
    response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': String(era) })
    response.end(JSON.stringify(body))
  }

  function listRange (query) {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after')
    const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && (after === null || key > after)).sort((a, b) => (a.key < b.key ? -1 : 1))
    return { items: found.slice(0, maxPageItems).map(show), truncated: found.length > maxPageItems, asOf: revision }
  }

  function watch (query, response) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    if (after < dropsBefore - 1 || after > revision) return reply(response, 410, {})
    const list = () => history.filter(event => event.revision > after && event.key.startsWith(prefix))
    const finish = () => {
      clearTimeout(timer)
      waiting.delete(look)
      reply(response, 200, { events: list().map(event => event.item === undefined ? { key: event.key, revision: event.revision, deleted: true } : show(event.item)), asOf: revision })
    }
    const look = () => { if (list().length > 0) finish() }
    const timer = setTimeout(finish, Math.min(30_000, Number(query.get('waitMs') ?? 0)))
    waiting.add(look)
    response.on('close', () => {
      clearTimeout(timer)
      waiting.delete(look)
    })
    look()
  }

  function commit ({ expected = [], puts = [], delete: deletes = [] }, response) {
    if (puts.some(({ key }) => /^(op|servers)\//.test(key))) return reply(response, 403, {})
    if (expected.some(({ key, revision: wanted }) => (items.get(key)?.revision ?? 0) !== wanted)) {
      return reply(response, 412, { items: expected.flatMap(({ key }) => items.has(key) ? [show(items.get(key))] : []) })
    }
    if (puts.some(({ lease }) => lease > 0 && !leases.has(lease))) return reply(response, 404, {})
    revision += 1
    for (const { key, value, lease } of puts) writeItem(key, Buffer.from(value, 'base64').toString(), lease ?? 0, revision)
    for (const key of deletes) deleteItem(key, revision)
    reply(response, 200, { revision })
  }

  function handle (request, response, body) {
    const url = new URL(request.url, 'http://store')
    const [, call, id] = url.pathname.split('/')
    switch (`${request.method} ${call}`) {
      case 'GET kv-key': {
        const item = items.get(url.searchParams.get('key'))
        return reply(response, item === undefined ? 404 : 200, item === undefined ? {} : { ...show(item), asOf: revision })
      }
      case 'GET kv-range': return reply(response, 200, listRange(url.searchParams))
      case 'GET kv-watch': return watch(url.searchParams, response)
      case 'POST kv-txn': return commit(body, response)
      case 'POST kv-lease': {
        leaseCount += 1
        leases.set(leaseCount, { ttlMs: body.ttlMs })
        armLease(leaseCount)
        return reply(response, 200, { lease: leaseCount, ttlMs: body.ttlMs })
      }
      case 'POST kv-keep':
        if (!leases.has(Number(id))) return reply(response, 404, {})
        armLease(Number(id))
        return reply(response, 200, { ttlMs: leases.get(Number(id)).ttlMs })
      case 'DELETE kv-lease-end': return reply(response, endLease(Number(id)) ? 200 : 404, {})
      default: return reply(response, 400, {})
    }
  }

  const server = createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('error', () => {})
    request.on('end', () => {
      const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString())
      request.isAnswered = () => response.writableEnded
      const verdict = intercept(request, response, body)
      // A number: the call is carried out after that time, and not answered.
      if (typeof verdict === 'number') setTimeout(handle, verdict, request, { destroyed: true, on () {} }, body)
      else if (!verdict) handle(request, response, body)
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** What the operator and the servers write. */
    put (key, value) {
      revision += 1
      writeItem(key, typeof value === 'string' ? value : JSON.stringify(value), 0, revision)
      return revision
    },
    remove: key => deleteItem(key, ++revision),
    get: key => items.get(key)?.text,
    listKeys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)),
    setIntercept (next) { intercept = next },
    /** The operator's or the platform's view of who leads. */
    getPlanner: () => [...items.values()].find(({ key }) => key.endsWith('/planner'))?.text,
    /** The store comes back from the copy that `takeCopy` made. */
    takeCopy: () => ({ items: new Map(items), revision }),
    restore (copy) {
      era += 1
      items.clear()
      for (const [key, item] of copy.items) items.set(key, item)
      revision = copy.revision
      history = []
      dropsBefore = revision + 1
      for (const { timer } of leases.values()) clearTimeout(timer)
      leases.clear()
      for (const wake of [...waiting]) wake()
    },
    stop () {
      for (const { timer } of leases.values()) clearTimeout(timer)
      server.close()
      server.closeAllConnections()
    }
  }
}
