import { createServer } from 'node:net'

const firstPort = 20_000
const portCount = 10_000

/** Starts at a different port in each process, so that concurrent test processes rarely try the same ports. */
let nextPortOffset = (process.pid * 101) % portCount

/**
 * Finds TCP ports that are free now. They are below the system's range for outgoing connections, so that no such
 * connection takes one before the program binds it.
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
