import { expect } from 'chai'

import { EndlessKind, kindsAfterResponse, startEndlessServer, type EndlessServer } from './endless-server.js'

/** A call of a client that reads one response. */
export interface EndlessReader {
  readonly name: string
  /** Longest duration of the call. */
  readonly timeoutMs: number
  /** Kinds of which the reader reads any number of bytes until the timeout, without keeping them, or up to a limit above what the server sends. */
  readonly kindsLimitedByTime?: readonly EndlessKind[]
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
        if (reader.kindsLimitedByTime?.includes(kind) !== true) expect(sentByteCount).to.be.lessThan(maxSentBytes)
      })
    }
  })
}
