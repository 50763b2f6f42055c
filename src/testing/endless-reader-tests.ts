import { expect } from 'chai'

import { EndlessKind, endlessBodyKinds, kindsAfterResponse, startEndlessServer, type EndlessServer } from './endless-server.js'

/** A call of a client that reads one response. */
export interface EndlessReader {
  readonly name: string
  /** Longest duration of the call. */
  readonly timeoutMs: number
  /** Whether the reader's limit on a body is above what the server sends, so that only the timeout ends the call. */
  readonly acceptsLargeBodies?: boolean
  /** Makes the call, and tells whether it succeeded. */
  call (address: string): Promise<boolean>
}

/** The kernel takes some megabytes more than a reader reads. */
const maxSentBytes = 24 * 1024 * 1024
/** Room for a busy machine. */
const slackMs = 1000

/** Checks for each kind of endless bytes that the call fails in time, and that the server sees its connection closed after a bounded number of bytes. */
export function describeEndlessReader (reader: EndlessReader): void {
  describe(reader.name, () => {
    let server: EndlessServer

    afterEach(() => server.stop())

    for (const kind of Object.values(EndlessKind)) {
      it(`closes the connection: ${kind}`, async () => {
        server = await startEndlessServer(kind)
        const startedAtMs = performance.now()
        const isSuccess = await reader.call(server.address)
        const { sentByteCount } = await server.closed
        expect(performance.now() - startedAtMs).to.be.lessThan(reader.timeoutMs + slackMs)
        if (!kindsAfterResponse.includes(kind)) expect(isSuccess).to.equal(false)
        const isLimitedByTime = reader.acceptsLargeBodies === true && endlessBodyKinds.includes(kind)
        if (!isLimitedByTime) expect(sentByteCount).to.be.lessThan(maxSentBytes)
      })
    }
  })
}
