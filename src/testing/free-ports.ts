import { createSocket } from 'node:dgram'
import { createServer } from 'node:net'

const firstPort = 20_000
const portCount = 10_000

/** Starts at a different port in each process, so that concurrent test processes rarely try the same ports. */
let nextPortOffset = (process.pid * 101) % portCount

/**
 * Finds ports that are free now, for TCP and UDP. They are below the system's range for outgoing connections, so that no such
 * connection takes one before the program binds it.
 */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = firstPort + nextPortOffset
    nextPortOffset = (nextPortOffset + 1) % portCount
    if (await isTcpPortFree(port) && await isUdpPortFree(port)) ports.push(port)
  }
  return ports
}

function isTcpPortFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

function isUdpPortFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = createSocket('udp4')
    socket.once('error', () => {
      socket.close()
      resolve(false)
    })
    socket.bind(port, '127.0.0.1', () => socket.close(() => resolve(true)))
  })
}
