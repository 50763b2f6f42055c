import { createServer } from 'node:net'

const firstPort = 20_000
const portCount = 10_000

/** Differs between test processes that run at the same time. */
let nextPortOffset = (process.pid * 101) % portCount

/**
 * Finds ports that are free for TCP now. They lie below the range from which the system takes the ports of
 * outgoing connections, so that no connection takes one before the program has bound it.
 */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = firstPort + nextPortOffset
    nextPortOffset = (nextPortOffset + 1) % portCount
    if (await isPortFree(port)) ports.push(port)
  }
  return ports
}

function isPortFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
